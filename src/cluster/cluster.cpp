#include "cluster/cluster.hpp"

#include <xxhash.h>

namespace gorsemount::cluster {

ShardId Cluster::shard_of(const std::string& forwarder) const {
  return ShardId{static_cast<std::uint16_t>(XXH3_64bits(forwarder.data(), forwarder.size()) % shards_)};
}

std::size_t Cluster::hand_over_all(Instant now) {
  std::size_t n = 0;
  for (std::size_t k = 0; k < shards_; ++k) {
    const ShardId shard{static_cast<std::uint16_t>(k)};
    if (!leases_.held_term(shard, now)) continue;
    leases_.hand_over(now, shard, std::nullopt);
    ++n;
  }
  return n;
}

}  // namespace gorsemount::cluster
