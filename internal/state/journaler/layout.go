package journaler

import (
	"fmt"
	"net/url"
	"strconv"
)

// KeyPrefix is the common prefix of the store keys of all shards.
const KeyPrefix = "shards/"

// ShardKey returns the store key called name of a shard. Other packages use it
// as well, such as for the owner record that the holder keeps.
func ShardKey(shard, name string) string { return KeyPrefix + url.PathEscape(shard) + "/" + name }

func headKey(shard string) string { return ShardKey(shard, "head") }

func slotPrefix(shard string) string { return ShardKey(shard, "log/") }

func slotKey(shard string, slot int) string { return slotPrefix(shard) + strconv.Itoa(slot) }

func snapshotPrefix(shard string) string { return ShardKey(shard, "snapshot/") }

func chunkKey(shard, name string, chunk int) string {
	return fmt.Sprintf("%s%s/%d", snapshotPrefix(shard), name, chunk)
}
