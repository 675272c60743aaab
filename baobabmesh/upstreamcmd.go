package main

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// stopTimeout limits the graceful stop of an upstream.
const stopTimeout = 10 * time.Second

// upstreamCmd serves an emulated upstream.
type upstreamCmd struct {
	ID          string        `arg:"--id,required" help:"id of the upstream"`
	Service     string        `arg:"--service,required" help:"service of the upstream"`
	Listen      string        `arg:"--listen,required" help:"address, as ip:port"`
	Node        string        `arg:"--node" help:"URL of the node's announcement API"`
	Slots       int           `arg:"--slots" default:"6" help:"calls that run at the same time"`
	Connections int           `arg:"--connections" default:"130" help:"connections accepted"`
	ServiceTime time.Duration `arg:"--service-time" default:"5ms" help:"mean service time"`
	WarmUp      time.Duration `arg:"--warm-up" help:"time after the start in which calls are slower"`
	Seed        uint64        `arg:"--seed" default:"1" help:"seed of the service times"`
	History     string        `arg:"--history" help:"file for the history of runs"`
}

func (c *upstreamCmd) run(ctx context.Context) error {
	b := baobabemulator.DefaultUpstreamBehaviour()
	b.Slots = c.Slots
	b.ServiceMs = float64(c.ServiceTime) / float64(time.Millisecond)
	b.WarmUpMs = c.WarmUp.Milliseconds()
	options := []baobabemulator.UpstreamOption{
		baobabemulator.WithUpstreamAddress(c.Listen),
		baobabemulator.WithUpstreamBehaviour(b),
		baobabemulator.WithUpstreamConnections(c.Connections),
		baobabemulator.WithUpstreamSeed(c.Seed),
		baobabemulator.WithUpstreamExit(os.Exit),
	}
	if c.Node != "" {
		options = append(options, baobabemulator.WithUpstreamNode(c.Node))
	}
	if c.History != "" {
		options = append(options, baobabemulator.WithUpstreamHistoryFile(c.History))
	}
	u := baobabemulator.NewUpstream(c.ID, c.Service, options...)
	if err := u.Start(); err != nil {
		return errors.Wrap(err, "run upstream")
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return errors.Wrap(u.Stop(stopCtx), "run upstream")
}
