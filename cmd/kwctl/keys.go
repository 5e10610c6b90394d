package main

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/settings"
)

func (c *console) keysGroup() *group {
	var signer string
	sign := func(f *flag.FlagSet) {
		f.StringVar(&signer, "sign-key", signer, "`file` with a private key of the root")
	}
	return &group{console: c, name: "keys", synopsis: "make, register and list the keys that settings are signed with", commands: []*command{
		{name: "new", args: "FILE", minArgs: 1, maxArgs: 1, run: func(_ context.Context, args []string) error { return c.keysNew(args[0]) },
			synopsis: "Write a new private key to FILE and its public key to FILE.pub"},
		{name: "list", maxArgs: 0, run: func(ctx context.Context, _ []string) error { return c.keysList(ctx) },
			synopsis: "List the keys in force"},
		{name: "register", args: "OWNER [PUBLIC-FILE]...", minArgs: 1, maxArgs: unlimitedArgs, flags: sign, run: func(ctx context.Context, args []string) error { return c.keysRegister(ctx, args[0], args[1:], signer) },
			synopsis: "Put keys in force for a team, or for the root",
			help:     "OWNER is a team or \"" + settings.RootOwner + "\". The keys in the files replace all earlier ones of that owner;\nwith none a team can't be changed any more. Signed with a root key in force; the\nfirst root keys are signed with one of themselves."},
	}}
}

func (c *console) keysNew(file string) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return errors.Wrap(err, "make key")
	}
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return errors.Wrap(err, "write key")
	}
	defer f.Close()
	if _, err := fmt.Fprintln(f, base64.StdEncoding.EncodeToString(private.Seed())); err != nil {
		return errors.Wrap(err, "write key")
	}
	text := base64.StdEncoding.EncodeToString(public)
	c.printf("%s", text)
	return errors.Wrap(os.WriteFile(file+".pub", []byte(text+"\n"), 0o644), "write public key")
}

func (c *console) privateKey(file string) (ed25519.PrivateKey, error) {
	data, err := c.file(file)
	if err != nil {
		return nil, err
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(data)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, errors.Errorf("%s holds no private key as \"kwctl keys new\" writes it", file)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

func (c *console) keysList(ctx context.Context) error {
	keys, err := c.keysInForce(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for owner, set := range keys {
		for _, k := range set.Keys {
			rows = append(rows, []string{owner, fmt.Sprint(set.Offset), string(k)})
		}
	}
	sort.Slice(rows, func(i, k int) bool { return rows[i][0] < rows[k][0] })
	return c.table(keys, "OWNER VERSION KEY", rows)
}

func (c *console) keysInForce(ctx context.Context) (map[string]settings.KeySet, error) {
	var keys map[string]settings.KeySet
	return keys, c.ask(ctx, "/v1/keys", &keys)
}

func (c *console) keysRegister(ctx context.Context, owner string, public []string, signer string) error {
	if signer == "" {
		return &usageError{"give the file with a private key of the root with -sign-key"}
	}
	key, err := c.privateKey(signer)
	if err != nil {
		return err
	}
	inForce, err := c.keysInForce(ctx)
	if err != nil {
		return err
	}
	change := settings.KeyChange{Owner: owner, Base: inForce[owner].Offset, Keys: []settings.PublicKey{}}
	for _, name := range public {
		text, err := c.file(name)
		if err != nil {
			return err
		}
		change.Keys = append(change.Keys, settings.PublicKey(strings.TrimSpace(string(text))))
	}
	if err := change.Check(); err != nil {
		return err
	}
	body, err := json.Marshal(change.Sign(key))
	if err != nil {
		return errors.Wrap(err, "encode change")
	}
	data, err := c.call(ctx, http.MethodPut, "/v1/keys", body)
	if err != nil {
		return err
	}
	a, err := accepted(data)
	if err != nil {
		return err
	}
	c.printf("accepted: the keys of %s are at version %d", owner, a.Offset)
	return nil
}
