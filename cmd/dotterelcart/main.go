// Command dotterelcart runs the entry daemon, its operators' tools and the
// stand-ins for the platform.
package main

func main() {}
