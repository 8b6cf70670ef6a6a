package commander

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/operator/inspector"
	"dotterelcart.dev/dotterelcart/internal/operator/parser"
)

// jobFile is the layout of a job file.
type jobFile struct {
	ID       string              `json:"id"`
	Team     string              `json:"team"`
	Class    string              `json:"class"`
	Urgent   bool                `json:"urgent"`
	Tasks    int                 `json:"tasks"`    // number of tasks
	Declared describer.Resources `json:"declared"` // resources that each task needs
	RunTime  parser.Duration     `json:"runtime"`  // run time of each task
	Deadline time.Time           `json:"deadline"`
	Payload  json.RawMessage     `json:"payload"`
}

// readFleet reads a configuration file. The error lists everything that is
// wrong in it.
func readFleet(name string) (describer.Configuration, error) {
	source, err := os.ReadFile(name)
	if err != nil {
		return describer.Configuration{}, exitUsage(err)
	}
	c, d := inspector.DecodeFleet(source)
	if len(d.Errors) > 0 {
		return describer.Configuration{}, invalidFile(name, d.Errors)
	}
	return c, nil
}

// readJob reads a job file, or in if the name is "-". The error lists everything
// that is wrong in it.
func readJob(in io.Reader, name string) (describer.Job, error) {
	source, err := readSource(in, name)
	if err != nil {
		return describer.Job{}, exitUsage(err)
	}
	file := jobFile{Tasks: 1}
	d := parser.Decode(source, &file)
	if file.ID == "" && len(d.Errors) == 0 {
		d.AddError("id", "is missing")
	}
	if len(d.Errors) > 0 {
		return describer.Job{}, invalidFile(name, d.Errors)
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

// readSource reads a file, or in if the name is "-".
func readSource(in io.Reader, name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(in)
	}
	return os.ReadFile(name)
}
