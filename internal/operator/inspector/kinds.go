package inspector

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/checker"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/operator/parser"
)

// Settings returns the kind of a daemon's settings files.
func Settings() Kind {
	return Format[parser.Settings]{
		Name:   "settings",
		Keys:   []string{"name", "domain", "region", "listen", "platform", "peers", "lease", "restore", "traffic", "log"},
		Decode: parser.ReadDocument,
		Compare: func(inForce, next parser.Settings) ([]checker.Change, []checker.Finding) {
			return checker.Compare(settingEntries(inForce), settingEntries(next)), nil
		},
	}.Kind()
}

// settingEntries returns the settings as values of one entry without a name, sorted by
// key.
func settingEntries(s parser.Settings) []checker.Item {
	entry := checker.Item{}
	encoded, err := json.Marshal(s)
	var root map[string]any
	if err == nil {
		err = json.Unmarshal(encoded, &root)
	}
	if err != nil {
		panic(err) // settings have no value that can't be encoded
	}
	var add func(path string, value any)
	add = func(path string, value any) {
		object, ok := value.(map[string]any)
		if !ok {
			entry.Values = append(entry.Values, checker.Value{Field: path, Text: fmt.Sprint(value)})
			return
		}
		for _, key := range slices.Sorted(maps.Keys(object)) {
			add(path+"."+key, object[key])
		}
	}
	for _, key := range slices.Sorted(maps.Keys(root)) {
		add(key, root[key])
	}
	return []checker.Item{entry}
}

// fleetFile is the layout of a configuration file.
type fleetFile struct {
	Revision int64             `json:"revision"` // revision of the configuration in force, 0 if there is none
	Services []serviceEntry    `json:"services"`
	Teams    []describer.Team  `json:"teams"`
	Shards   []describer.Shard `json:"shards"`
	Weights  describer.Weights `json:"weights"`
}

// serviceEntry is a service in a configuration file.
type serviceEntry struct {
	Name   string          `json:"name"`
	Target parser.Duration `json:"target"` // bound on the 99th percentile of its latency
}

// DecodeFleet decodes a configuration file without checking its values.
func DecodeFleet(source []byte) (describer.Configuration, *parser.Document) {
	var file fleetFile
	d := parser.Decode(source, &file)
	c := describer.Configuration{
		Revision: file.Revision, Teams: file.Teams, Shards: file.Shards, Weights: file.Weights,
	}
	for _, s := range file.Services {
		c.Services = append(c.Services, describer.Service{Name: s.Name, Target: time.Duration(s.Target)})
	}
	return c, d
}

// Configuration returns the kind of files with the product's own configuration.
func Configuration() Kind {
	return Format[describer.Configuration]{
		Name:          "configuration",
		Keys:          []string{"revision", "services", "teams", "shards", "weights"},
		Decode:        DecodeFleet,
		DecodeInForce: decodeConfiguration,
		Workers:       decodeHosts,
		Check:         checker.Configuration,
		Compare:       checker.CompareConfigurations,
	}.Kind()
}

// decodeConfiguration decodes the configuration as a daemon returns it, or else a
// configuration file. In a daemon's response times are numbers.
func decodeConfiguration(source []byte) (describer.Configuration, error) {
	var c describer.Configuration
	if err := json.Unmarshal(source, &c); err == nil {
		return c, nil
	}
	c, d := DecodeFleet(source)
	if len(d.Errors) > 0 {
		return c, d.Errors
	}
	return c, nil
}

// decodeHosts returns the workers of an array of hosts in the format of the host list.
func decodeHosts(source []byte) ([]checker.Worker, error) {
	var hosts []describer.Host
	if err := json.Unmarshal(source, &hosts); err != nil {
		return nil, errors.New("must be an array of hosts as in the host list: " + err.Error())
	}
	var workers []checker.Worker
	for _, h := range hosts {
		if h.Role == describer.Worker {
			workers = append(workers, checker.Worker{Services: h.Services, Domain: h.Domain, Rack: h.Rack, Capacity: h.Capacity})
		}
	}
	return workers, nil
}
