// Package specifier defines the job model: the jobs that callers submit, the
// queues and services of the configuration, and the workers that run tasks.
//
// # Model
//
// A [Job] is submitted to a [Queue] and consists of steps. A [Step] is a number
// of identical tasks that start when all tasks of the steps in After have
// completed. A job may repeat; each repetition is an occurrence with its own
// tasks, so a [TaskID] consists of job, occurrence, step and index. A task is
// executed by a [Run] on a worker; if that fails or is lost, by another one. A
// [Worker] is one incarnation of a process that runs tasks of one service.
//
// A long-running task runs until its job is cancelled; all other tasks are
// finite. A task with a latency target serves users and is called a serving
// task. A filler is a task that reserves no CPU and uses what other tasks leave
// idle.
//
//	job := specifier.Job{ID: "5c0e7a21d94b36f8", Queue: "menus", Steps: steps}
//	if err := job.Validate(); err != nil { ... } // a *FieldError
//
// All types are plain data without synchronization.
package specifier
