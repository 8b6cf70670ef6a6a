package commander

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/operator/parser"
)

// fleetFile is a configuration as operators write it.
type fleetFile struct {
	Revision int64             `json:"revision"` // in force now, 0 for the first
	Services []serviceEntry    `json:"services"`
	Teams    []describer.Team  `json:"teams"`
	Shards   []describer.Shard `json:"shards"`
	Weights  describer.Weights `json:"weights"`
}

type serviceEntry struct {
	Name   string          `json:"name"`
	Target parser.Duration `json:"target"`
}

// jobFile is a job as callers write it.
type jobFile struct {
	ID       string              `json:"id"`
	Team     string              `json:"team"`
	Class    string              `json:"class"`
	Urgent   bool                `json:"urgent"`
	Tasks    int                 `json:"tasks"`
	Declared describer.Resources `json:"declared"`
	RunTime  parser.Duration     `json:"runtime"`
	Deadline time.Time           `json:"deadline"`
	Payload  json.RawMessage     `json:"payload"`
}

// readFleet reads a configuration and lists everything that is wrong in it.
func readFleet(name string) (describer.Configuration, error) {
	source, err := os.ReadFile(name)
	if err != nil {
		return describer.Configuration{}, misused(err)
	}
	var file fleetFile
	d := parser.Decode(source, &file)
	if len(d.Errors) > 0 {
		return describer.Configuration{}, faultsOf(name, d.Errors)
	}
	c := describer.Configuration{
		Revision: file.Revision, Teams: file.Teams, Shards: file.Shards, Weights: file.Weights,
	}
	for _, s := range file.Services {
		c.Services = append(c.Services, describer.Service{Name: s.Name, Target: time.Duration(s.Target)})
	}
	return c, nil
}

// readJob reads a job from a file, or from in when the name is "-".
func readJob(in io.Reader, name string) (describer.Job, error) {
	source, err := readSource(in, name)
	if err != nil {
		return describer.Job{}, misused(err)
	}
	file := jobFile{Tasks: 1}
	d := parser.Decode(source, &file)
	if file.ID == "" && len(d.Errors) == 0 {
		d.AddError("id", "is missing")
	}
	if len(d.Errors) > 0 {
		return describer.Job{}, faultsOf(name, d.Errors)
	}
	job := describer.Job{
		ID: file.ID, Team: file.Team, Class: file.Class, Tasks: file.Tasks, Declared: file.Declared,
		RunTime: time.Duration(file.RunTime), Deadline: file.Deadline, Payload: file.Payload,
	}
	if file.Urgent {
		job.Priority = describer.Urgent
	}
	return job, nil
}

func readSource(in io.Reader, name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(in)
	}
	return os.ReadFile(name)
}
