package main

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// nodeMetrics are the samples that a node exposes at /metrics, by metric name including its labels.
type nodeMetrics map[string]float64

var metricsClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}

// readMetrics scrapes /metrics of a node.
func readMetrics(ctx context.Context, n *baobabemulator.MeshNode) (nodeMetrics, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.OperatorAddress()+"/metrics", nil)
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	response, err := metricsClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	defer func() { _ = response.Body.Close() }()
	values := nodeMetrics{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, text, ok := parseSample(lines.Text())
		if v, err := strconv.ParseFloat(text, 64); ok && err == nil {
			values[name] = v
		}
	}
	return values, errors.Wrap(lines.Err(), "read metrics")
}

// parseSample splits a line of the Prometheus text format at its last space. It reports false for a comment and for a
// line without a space.
func parseSample(line string) (name, value string, ok bool) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 || strings.HasPrefix(line, "#") {
		return "", "", false
	}
	return line[:i], line[i+1:], true
}

// sum adds up the samples whose name, including labels, contains all parts.
func (m nodeMetrics) sum(parts ...string) float64 {
	total := 0.0
	for name, v := range m {
		match := true
		for _, p := range parts {
			match = match && strings.Contains(name, p)
		}
		if match {
			total += v
		}
	}
	return total
}

// readAllMetrics scrapes nodes, a few at a time. The result has their order, with nil for a node that did not answer.
func readAllMetrics(ctx context.Context, nodes []*baobabemulator.MeshNode) []nodeMetrics {
	const concurrent = 8
	all := make([]nodeMetrics, len(nodes))
	slots := make(chan struct{}, concurrent)
	var wg sync.WaitGroup
	for i, n := range nodes {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if m, err := readMetrics(ctx, n); err == nil {
				all[i] = m
			}
		})
	}
	wg.Wait()
	return all
}
