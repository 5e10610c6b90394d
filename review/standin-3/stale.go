package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

const (
	waveRunners = 6
	// cutAt is when the owner is cut off, after the request of the second wave: its machines are nearly empty then.
	cutAt = 2500 * time.Millisecond
	// platformCut is for how long.
	platformCut = 5500 * time.Millisecond
)

// caseStale requests two waves of upkeep, and cuts the owner of the pool off from the platform while the second goes on.
func caseStale(r *record, trouble bool) (int, error) {
	cfg := node.Config{Version: 1, Services: []string{machines.Service}, Routes: []node.Route{queue("jobs", "/jobs/", 0)}}
	d, err := newDeployment(r, 7, cfg, func(*machines.World) {})
	if d != nil {
		defer d.end()
	}
	if err != nil {
		return failed, err
	}
	var ids []string
	for n := range waveRunners {
		x, err := d.addRunner(fmt.Sprintf("i-%d", n+1), fmt.Sprintf("r-%d", n/2))
		if err != nil {
			return failed, err
		}
		d.cloud.add(x)
		ids = append(ids, fmt.Sprintf("%q", "m-"+x.id))
	}
	time.Sleep(4 * time.Second)
	if !d.submit(d.instances[0], "/jobs/", "00000000000000a0", "60000", stepBody{Count: 2 * waveRunners, CPU: 6000, Mem: 100, EstimateMs: 60000}) {
		return failed, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(3 * time.Second)
	owner := d.owner()
	d.line("%s owns the pool", owner.name)
	for n, list := range [][]string{ids[2:], ids[:2]} {
		wave := pool.Record{Key: fmt.Sprintf("wave/%d", n+1), Value: fmt.Appendf(nil, `{"maintenanceWave":%d,"machines":[%s],"durationS":60,"cap":%d,"Routes":""}`, n+1, strings.Join(list, ","), len(list))}
		if _, err := d.wire.View().Append(context.Background(), machines.ConfigTopic, []pool.Record{wave}, nil); err != nil {
			return failed, err
		}
		d.line("the operator requests wave %d: %s, at most %d at a time", n+1, strings.Join(list, " "), len(list))
		if n == 0 {
			time.Sleep(9 * time.Second)
		}
	}
	if trouble {
		time.Sleep(cutAt)
		d.line("%s is cut off from the platform (store and machine service)", owner.name)
		owner.cutFromPlatform(true)
		time.Sleep(platformCut)
		owner.cutFromPlatform(false)
		d.line("%s reaches the platform again", owner.name)
	}
	time.Sleep(20 * time.Second)
	a, b, found := d.cloud.lowerAfterHigher()
	if !found {
		d.line("no machine got an order with a lower number after one with a higher")
		return held, nil
	}
	d.line("%s: an order by %s with number %d came %v after one by %s with number %d", a.machine, b.holder, b.token, b.at.Sub(a.at).Round(time.Millisecond), a.holder, a.token)
	return broken, nil
}

func (i *instance) cutFromPlatform(cut bool) {
	i.storeProxy.setCut(cut)
	i.cloudProxy.setCut(cut)
}
