// Package specifier holds the job model: what callers submit, and the queues,
// services and workers that it runs on.
//
// # Model
//
// A [Job] is submitted once to a [Queue] and consists of steps. A [Step] is a
// number of equal tasks that begin when all tasks of the steps in After have
// completed. A job may repeat; each repetition is an occurrence with tasks of
// its own, so a [TaskID] names job, occurrence, step and index. A [Worker] is
// one life of a host that runs tasks for one service.
//
//	job := specifier.Job{ID: "5c0e7a21d94b36f8", Queue: "menus", Steps: steps}
//	if err := job.Validate(); err != nil { ... } // names the field
//
// All types are plain data.
package specifier
