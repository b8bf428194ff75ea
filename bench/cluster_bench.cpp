// `gorsemount-cluster-bench`: the cost of membership and leases among 3 to 50 controllers: bytes a second
// of sealed frames on the wire, processor time, and the time until all members detect a killed one. Virtual
// clock; the kill is the only fault.
#include <chrono>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>

#include "cluster/cluster.hpp"
#include "cluster/frame_codec.hpp"

namespace {

using namespace gorsemount;
using namespace gorsemount::cluster;

MemberId id(std::size_t k) { return MemberId{static_cast<std::uint16_t>(k)}; }

void measure(std::size_t n) {
  const Key key{1, {}};
  std::vector<std::unique_ptr<Cluster>> nodes(n);
  std::vector<std::unique_ptr<FrameCodec>> frames;
  ClusterSettings s;
  for (std::size_t k = 0; k < n; ++k) s.members.push_back(id(k));
  s.shards = 16, s.lease.duration = Span::seconds(3), s.lease.retry_interval = Span::seconds(0.3);
  for (std::size_t k = 0; k < n; ++k) {
    s.self = id(k), s.seed = k + 1, s.term_floor = {1};
    nodes[k] = std::make_unique<Cluster>(s, Instant{});
    frames.push_back(std::make_unique<FrameCodec>(id(k), 1, std::vector<Key>{key}));
  }
  std::deque<std::pair<double, std::string>> in_flight;
  std::uint64_t bytes = 0;
  double cpu = 0, detection_time = 0;
  const double length = 60, measure_from = 10, kill = 40;
  std::vector<MemberId> to;
  for (double now = 0; now < length; now += 0.005) {
    const auto began = std::chrono::steady_clock::now();
    while (!in_flight.empty() && in_flight.front().first <= now) {
      const std::string frame = std::move(in_flight.front().second);
      in_flight.pop_front();
      const std::size_t k = static_cast<std::size_t>(static_cast<unsigned char>(frame[3])) << 8U |
                            static_cast<unsigned char>(frame[4]);
      if (!nodes[k]) continue;
      const auto opened = frames[k]->open(frame);
      if (const auto* m = std::get_if<Message>(&opened)) nodes[k]->receive(Instant::at_seconds(now), *m);
    }
    for (std::size_t k = 0; k < n; ++k) {
      if (!nodes[k] || nodes[k]->wake_at() > Instant::at_seconds(now)) continue;
      for (const auto& m : nodes[k]->tick(Instant::at_seconds(now))) {
        in_flight.emplace_back(now + 0.001, frames[k]->seal(m));
        if (now >= measure_from && now < kill) bytes += in_flight.back().second.size();
      }
    }
    if (now >= measure_from && now < kill)
      cpu += std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    if (nodes[1] && now >= kill) nodes[1].reset();
    if (!nodes[1] && detection_time == 0) {
      bool all = true;
      for (std::size_t k = 0; k < n; ++k)
        all = all && (!nodes[k] || nodes[k]->state_of(id(1)) == MemberState::gone);
      if (all) detection_time = now - kill;
    }
  }
  const double duration = kill - measure_from;
  std::printf(
      "%3zu members: %9.0f bytes/s in all, %7.0f a member, %6.3f ms of processor a second and member, a kill "
      "known to all after %5.2f s\n",
      n, static_cast<double>(bytes) / duration,
      static_cast<double>(bytes) / duration / static_cast<double>(n),
      1000 * cpu / duration / static_cast<double>(n), detection_time);
}

}  // namespace

int main() {
  for (const std::size_t n : {3U, 5U, 15U, 50U}) measure(n);
  return 0;
}
