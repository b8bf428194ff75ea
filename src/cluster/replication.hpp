// Replicates facts between coordinators: each member keeps a log of its own facts and sends it to the others,
// which keep one replica per origin. The log is compacted by subject, so a member that joins or fell behind
// catches up from its own position without delaying the others. A batch that may have been in transit for
// longer than a limit is rejected, so a replica is never older than it claims.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "cluster/messages.hpp"
#include "recovery/fact_log.hpp"

namespace gorsemount::cluster {

struct ReplicationSettings {
  // Without new facts an empty batch is sent this often, which confirms the earlier ones.
  Span heartbeat_interval = Span::seconds(0.5);
  Span retransmit_interval = Span::seconds(0.4);  // for batches that were not acknowledged
  Span max_age = Span::seconds(2);     // batches that may be older than this on receipt are rejected
  std::size_t max_batch_bytes = 3000;  // of facts in one message; has to stay below kMaxFrameBytes
};

class Replication {
 public:
  // `generation`: grows with each start of this member.
  Replication(MemberId self, const std::vector<MemberId>& others, std::uint64_t generation,
              ReplicationSettings settings = {});

  // Brings the log of this member up to `present`. Returns how many facts changed.
  std::size_t observe(Instant now, const recovery::Facts& present);
  void receive(Instant now, const Message& message);
  [[nodiscard]] std::vector<Message> tick(Instant now);
  [[nodiscard]] Instant wake_at() const;

  struct Replica {
    std::uint64_t generation = 0, up_to = 0, last = 0;
    std::optional<Instant> confirmed;  // every fact in it held at this time or later
    recovery::FactLog log;
    [[nodiscard]] bool complete() const { return generation > 0 && up_to == last; }
  };
  [[nodiscard]] const std::map<MemberId, Replica>& replicas() const { return replicas_; }
  // Entries received since the last call, in the order of arrival.
  [[nodiscard]] std::vector<recovery::Entry> take_received();
  // The facts of all other members that are recent enough to be trusted now, one entry per subject; for a
  // leader that takes over.
  [[nodiscard]] std::vector<recovery::Entry> trusted_entries(Instant now) const;

  struct Counters {
    std::uint64_t sent = 0, applied = 0, stale = 0, malformed = 0, oversized = 0;
  };
  [[nodiscard]] const Counters& counters() const { return counters_; }

 private:
  struct Peer {
    std::uint64_t acked = 0;
    std::uint64_t in_flight = 0;  // last sequence sent
    Instant retransmit_at, heartbeat_at;
    std::int64_t echoed_clock = 0;
  };
  void send(MemberId to, Body body);
  void send_batch(Instant now, MemberId to, Peer& peer);
  void apply_batch(Instant now, MemberId from, const ReplicationBatch& batch);

  MemberId self_;
  ReplicationSettings settings_;
  std::uint64_t generation_;
  recovery::FactLog fact_log_;
  std::map<MemberId, Peer> peers_;
  std::map<MemberId, Replica> replicas_;
  std::vector<recovery::Entry> received_;
  std::vector<Message> outbox_;
  Counters counters_;
};

struct GroupTable {
  std::map<std::string, double> weights;                 // by backend
  std::map<std::string, std::pair<int, double>> levels;  // tries and level, by operation
};
// The table that a group's leader uses, from the replicas: the newest among the recently confirmed members
// that claim to lead the group. Empty if there is none.
[[nodiscard]] std::optional<GroupTable> leader_table(const std::map<MemberId, Replication::Replica>& replicas,
                                                     const std::string& group, Instant now);

}  // namespace gorsemount::cluster
