package commands

import (
	"errors"
	"fmt"
	"os"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmin"
	"basillift.dev/basillift/blexplain"
	"basillift.dev/basillift/bltable"
)

// tableCheckResult is the JSON output of check for a routing table.
type tableCheckResult struct {
	OK       bool     `json:"ok"`
	Version  uint64   `json:"version"`
	Routes   int      `json:"routes"`
	Services int      `json:"services"`
	Problems []string `json:"problems"`
}

// routeChanges is the JSON form of the changes of one route.
type routeChanges struct {
	Route   string   `json:"route"`
	Changes []string `json:"changes"`
}

func readTable(path string) (basillift.RoutingSpec, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return basillift.RoutingSpec{}, unreadableError(err)
	}
	r, err := bltable.Parse(data)
	if err != nil {
		return basillift.RoutingSpec{}, unreadableError(fmt.Errorf("table %s: %w", path, err))
	}
	return r, nil
}

// checkTable validates a routing table as the daemons do and prints the result.
func (s Streams) checkTable(path string, asJSON bool) error {
	r, err := readTable(path)
	if err != nil {
		return err
	}
	result := tableCheckResult{Version: r.Version(), Routes: len(r.Routes()), Services: len(r.Services()), Problems: []string{}}
	var invalid *bltable.InvalidError
	if _, err = bltable.Build(r); errors.As(err, &invalid) {
		for _, p := range invalid.Problems() {
			result.Problems = append(result.Problems, p.String())
		}
	} else if err != nil {
		return unreadableError(err)
	}
	result.OK = len(result.Problems) == 0
	if err = s.printTableCheck(result, asJSON); err != nil || result.OK {
		return err
	}
	return differsError()
}

func (s Streams) printTableCheck(c tableCheckResult, asJSON bool) error {
	if asJSON {
		return s.printJSON(c)
	}
	for _, p := range c.Problems {
		s.printf("%s\n", p)
	}
	if c.OK {
		s.printf("ok: table version %d, %d routes, %d services\n", c.Version, c.Routes, c.Services)
	}
	return nil
}

// diffTables prints the changes of each route from one table to another.
func (s Streams) diffTables(before, after basillift.RoutingSpec, asJSON bool) error {
	differences := bltable.Diff(before, after)
	if asJSON {
		list := make([]routeChanges, 0, len(differences))
		for _, d := range differences {
			list = append(list, routeChanges{Route: d.Route(), Changes: d.Lines()})
		}
		if err := s.printJSON(list); err != nil {
			return err
		}
	} else {
		s.printf("version %d -> %d\n", before.Version(), after.Version())
		for _, d := range differences {
			for _, text := range d.Lines() {
				s.printf("%s %s\n", d.Route(), text)
			}
		}
	}
	if len(differences) == 0 {
		return nil
	}
	return differsError()
}

// readOldTable returns the table to compare with, from a file or the one in force on a daemon.
func readOldTable(tablePath, admin string) (basillift.RoutingSpec, error) {
	switch {
	case tablePath != "" && admin == "":
		return readTable(tablePath)
	case tablePath == "" && admin != "":
		r, err := bladmin.NewClient(admin).Table()
		if err != nil {
			return r, unreadableError(err)
		}
		return r, nil
	default:
		return basillift.RoutingSpec{}, usageError("give either --old-table or --admin with --table")
	}
}

// explainRoute returns the routing steps for a request, by the table in a file or, without
// one, by the daemon's table.
func explainRoute(tablePath, admin string, q blexplain.Query) ([]string, error) {
	if q.Host() == "" || q.Path() == "" {
		return nil, usageError("give --host and --path")
	}
	if tablePath == "" {
		steps, err := bladmin.NewClient(admin).ExplainRoute(q)
		if err != nil {
			return nil, unreadableError(err)
		}
		return steps, nil
	}
	r, err := readTable(tablePath)
	if err != nil {
		return nil, err
	}
	t, err := bltable.Build(r)
	if err != nil {
		return nil, unreadableError(err)
	}
	return t.Explain(q.Host(), q.Path()), nil
}
