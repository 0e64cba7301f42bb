package commands

import (
	"errors"
	"fmt"
	"os"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmin"
	"basillift.dev/basillift/bltable"
)

// checkedTable is the JSON form of a checked routing table.
type checkedTable struct {
	OK       bool     `json:"ok"`
	Version  uint64   `json:"version"`
	Routes   int      `json:"routes"`
	Services int      `json:"services"`
	Problems []string `json:"problems"`
}

// tableDifference is the JSON form of what changes for one route.
type tableDifference struct {
	Route   string   `json:"route"`
	Changes []string `json:"changes"`
}

func readTable(path string) (basillift.RoutingSpec, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return basillift.RoutingSpec{}, failure(err)
	}
	r, err := bltable.Parse(data)
	if err != nil {
		return basillift.RoutingSpec{}, failure(fmt.Errorf("table %s: %w", path, err))
	}
	return r, nil
}

// checkTable checks a routing table as the daemons do.
func (s Streams) checkTable(path string, asJSON bool) error {
	r, err := readTable(path)
	if err != nil {
		return err
	}
	result := checkedTable{Version: r.Version(), Routes: len(r.Routes()), Services: len(r.Services()), Problems: []string{}}
	var invalid *bltable.InvalidError
	if _, err = bltable.Build(r); errors.As(err, &invalid) {
		for _, p := range invalid.Problems() {
			result.Problems = append(result.Problems, p.String())
		}
	} else if err != nil {
		return failure(err)
	}
	result.OK = len(result.Problems) == 0
	if err = s.printTableCheck(result, asJSON); err != nil || result.OK {
		return err
	}
	return differs()
}

func (s Streams) printTableCheck(c checkedTable, asJSON bool) error {
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

// diffTables prints what changes from one table to another.
func (s Streams) diffTables(before, after basillift.RoutingSpec, asJSON bool) error {
	all := bltable.Diff(before, after)
	if asJSON {
		list := make([]tableDifference, 0, len(all))
		for _, d := range all {
			list = append(list, tableDifference{Route: d.Route(), Changes: d.Lines()})
		}
		if err := s.printJSON(list); err != nil {
			return err
		}
	} else {
		s.printf("version %d -> %d\n", before.Version(), after.Version())
		for _, d := range all {
			for _, text := range d.Lines() {
				s.printf("%s %s\n", d.Route(), text)
			}
		}
	}
	if len(all) == 0 {
		return nil
	}
	return differs()
}

// oldTable is the table to compare with: in a file, or in force on a daemon.
func oldTable(path, admin string) (basillift.RoutingSpec, error) {
	switch {
	case path != "" && admin == "":
		return readTable(path)
	case path == "" && admin != "":
		r, err := bladmin.NewClient(admin).Table()
		if err != nil {
			return r, failure(err)
		}
		return r, nil
	default:
		return basillift.RoutingSpec{}, usage("give either --old-table or --admin beside --table")
	}
}

// explainRoute returns the steps for a request, from a file or from a daemon.
func explainRoute(path, admin, host, target string) ([]string, error) {
	if host == "" || target == "" {
		return nil, usage("give --host and --path")
	}
	if path == "" {
		steps, err := bladmin.NewClient(admin).ExplainRoute(host, target)
		if err != nil {
			return nil, failure(err)
		}
		return steps, nil
	}
	r, err := readTable(path)
	if err != nil {
		return nil, err
	}
	t, err := bltable.Build(r)
	if err != nil {
		return nil, failure(err)
	}
	return t.Explain(host, target), nil
}
