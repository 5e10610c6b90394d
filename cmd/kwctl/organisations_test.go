package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/organisation"
	"github.com/knapweedweir/knapweedweir/platform/wirestand"
	"github.com/knapweedweir/knapweedweir/pool"
)

// Two owners report their parts of the caps; the dump of an instance that owns nothing adds nothing.
func TestOrganisationsShowSumsUpThePools(t *testing.T) {
	report := func(share float64, used int64, waits string) []pool.CapReport {
		return []pool.CapReport{{Organisation: "one", Cap: organisation.Amounts{organisation.CPU: 8000, organisation.GPU: 48}, Used: organisation.Amounts{organisation.CPU: 1000, organisation.GPU: used},
			Share: [organisation.Resources]float64{0.5, 0.5, share}, WaitingJob: waits}}
	}
	var addrs []string
	for _, d := range []nodeDump{
		{Process: daemon.Status{ID: "a"}, Dump: node.Dump{Pools: []node.PoolDump{{Pool: 3, Owned: true, Epoch: 7, Caps: report(0.25, 8, "")}}}},
		{Process: daemon.Status{ID: "b"}, Dump: node.Dump{Pools: []node.PoolDump{{Pool: 9, Owned: true, Epoch: 8, Caps: report(0.75, 36, "5c0e")}, {Pool: 3, Epoch: 7}}}},
	} {
		f := newFakeEntry(t)
		f.answer("GET /dump", 200, d)
		addrs = append(addrs, f.addr)
	}
	r := kwctl(t, "", "", append([]string{"organisations", "show"}, addrs...)...)
	assert.Equal(t, r.status, exitOK, r.errs)
	assert.DeepEqual(t, rows(r.out), []string{
		"ORGANISATION RESOURCE CAP USED MAY_BE_USED SHARES WAITS",
		"one cpu 8000 2000 0 3:0.50 9:0.50 5c0e",
		"one gpu 48 44 0 3:0.25 9:0.75 5c0e",
	})
}

// Guards against a check that accepts what instances reject, and against keys in its output.
func TestOrganisationsCheckNamesThePlace(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	check := func(key string) result {
		config := wirestand.EncodeConfig(&node.Config{Version: 7, Services: []string{"s"}}, []organisation.Entry{
			{Organisation: organisation.Organisation{Name: "one", Weight: 3, Cap: organisation.Amounts{organisation.CPU: 8000}}, Keys: []string{"verysecret"}},
			{Organisation: organisation.Organisation{Name: "two"}, Keys: []string{key}},
		})
		assert.NilError(t, os.WriteFile(file, config, 0o600))
		return kwctl(t, "", "", "organisations", "check", file)
	}
	r := check("another")
	assert.Equal(t, r.status, exitOK, r.errs)
	assert.Equal(t, r.out, "one: weight 3, 1 keys, cap [8000 0 0]\ntwo: weight 0, 1 keys, cap [0 0 0]\nno findings\n")
	r = check("verysecret")
	assert.Assert(t, r.status != exitOK)
	assert.Assert(t, strings.Contains(r.errs, `organisations[1].keys[0]: is a key of "one" already`) && !strings.Contains(r.errs, "verysecret"), r.errs)
}
