// Package describer defines the data types that the control plane works on.
//
// # Model
//
// A [Host] is an entry host or a worker, as the platform's host list names it.
// Workers are grouped into shards ([Shard]). Each shard has one owner, which
// places tasks on its workers. A [Job] is submitted once and consists of [Task]
// values. Each run of a task has a [Token] that fences off earlier runs. A
// [Record] is one durable state transition in a shard's ledger. The
// [Configuration] is the one document that operators change, through an
// [Intent], its [Plan] and a confirmation.
//
// All types are plain data. Their methods depend on neither time nor I/O, so
// values can be copied, compared and encoded as JSON.
package describer
