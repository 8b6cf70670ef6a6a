// Package describer holds the plain data that the control plane works on.
//
// # Model
//
// A [Host] is an entry host or a worker as the host list names it. Workers
// are grouped into shards ([Shard]); the one owner of a shard places tasks on
// its workers. A [Job] is submitted once and consists of [Task] values, each
// run under a [Token] that fences earlier runs. A [Record] is one durable
// transition in a shard's ledger. A [Configuration] is the one document that
// operators change through an [Intent], its [Plan] and a confirmation.
//
// All types are plain data without behaviour that depends on time or I/O, so
// they can be copied, compared and encoded as JSON.
package describer
