#include "cluster/replication.hpp"

#include <algorithm>
#include <utility>

#include "recovery/codec.hpp"
#include "recovery/fact_confidence.hpp"

namespace gorsemount::cluster {

using recovery::Entry;
using recovery::FactKind;

namespace {

constexpr std::size_t kMaxBatchEntries = 32;   // before the limit in bytes applies
const Span kLeaderTimeout = Span::seconds(3);  // six heartbeats without contact

std::int64_t micros(Instant time) { return (time - Instant{}).micros(); }

}  // namespace

Replication::Replication(MemberId self, const std::vector<MemberId>& others, std::uint64_t generation,
                         ReplicationSettings settings)
    : self_{self}, settings_{settings}, generation_{std::max<std::uint64_t>(generation, 1)} {
  for (const auto other : others)
    if (other != self_) peers_[other], replicas_[other];
}

std::size_t Replication::observe(Instant now, const recovery::Facts& present) {
  const auto changed = fact_log_.observe(now, present);
  std::uint64_t acked_by_all = fact_log_.last_sequence();
  for (const auto& [member, peer] : peers_) acked_by_all = std::min(acked_by_all, peer.acked);
  fact_log_.purge_deleted(now, acked_by_all);
  return changed;
}

void Replication::send(MemberId to, Body body) {
  Message& message = outbox_.emplace_back();
  message.from = self_, message.to = to, message.body = std::move(body);
}

void Replication::send_batch(Instant now, MemberId to, Peer& peer) {
  ReplicationBatch batch{generation_,       peer.acked, peer.acked, fact_log_.last_sequence(),
                         peer.echoed_clock, {}};
  auto entries = fact_log_.after(peer.acked, kMaxBatchEntries);
  while (!entries.empty()) {
    batch.facts = recovery::encode(entries, now);
    if (batch.facts.size() <= settings_.max_batch_bytes) break;
    if (entries.size() == 1) {
      // A fact too large for any message is skipped and counted, so that it doesn't block the ones behind it.
      ++counters_.oversized;
      batch.facts.clear();
      break;
    }
    entries.resize(entries.size() / 2);
  }
  if (!entries.empty()) batch.up_to = entries.back().sequence;
  // The last sequences may belong to entries that were compacted away.
  if (fact_log_.after(batch.up_to, 1).empty()) batch.up_to = fact_log_.last_sequence();
  peer.in_flight = batch.up_to, peer.retransmit_at = now + settings_.retransmit_interval,
  peer.heartbeat_at = now + settings_.heartbeat_interval;
  ++counters_.sent;
  send(to, std::move(batch));
}

std::vector<Message> Replication::tick(Instant now) {
  for (auto& [member, peer] : peers_) {
    const bool waiting = peer.in_flight > peer.acked && now < peer.retransmit_at;
    if ((peer.acked < fact_log_.last_sequence() && !waiting) || now >= peer.heartbeat_at)
      send_batch(now, member, peer);
  }
  return std::exchange(outbox_, {});
}

Instant Replication::wake_at() const {
  Instant next = Instant{} + Span::micros(INT64_MAX);
  for (const auto& [member, peer] : peers_) {
    next = std::min(next, peer.heartbeat_at);
    if (peer.acked < fact_log_.last_sequence()) next = std::min(next, peer.retransmit_at);
  }
  return next;
}

void Replication::apply_batch(Instant now, MemberId from, const ReplicationBatch& batch) {
  Replica& replica = replicas_.at(from);
  const auto acknowledge = [&] {
    send(from, ReplicationAck{replica.generation, replica.up_to, micros(now)});
  };
  if (batch.generation < replica.generation) return;  // from before a restart of the sender
  if (batch.generation > replica.generation) replica = {}, replica.generation = batch.generation;
  // Rejects a batch of unknown or excessive age, as from a paused process or a congested path: its facts may
  // no longer hold. The acknowledgement carries the local clock, so that the age of the next batch is
  // bounded.
  if (batch.echoed_clock == 0 || now - (Instant{} + Span::micros(batch.echoed_clock)) > settings_.max_age) {
    counters_.stale += batch.echoed_clock == 0 ? 0 : 1;
    return acknowledge();
  }
  if (batch.from != replica.up_to || batch.up_to < batch.from || batch.last < batch.up_to)
    return acknowledge();
  if (!batch.facts.empty()) {
    auto decoded = recovery::decode(batch.facts, now);
    if (std::holds_alternative<std::string>(decoded)) {
      ++counters_.malformed;
      return;
    }
    for (auto& entry : std::get<std::vector<Entry>>(decoded)) {
      received_.push_back(entry);
      replica.log.put(std::move(entry));
      ++counters_.applied;
    }
  }
  replica.up_to = batch.up_to, replica.last = batch.last;
  if (replica.complete())
    replica.confirmed =
        std::max(replica.confirmed.value_or(Instant{}), Instant{} + Span::micros(batch.echoed_clock));
  replica.log.purge_deleted(now, 0);
  acknowledge();
}

void Replication::receive(Instant now, const Message& message) {
  const auto it = peers_.find(message.from);
  if (it == peers_.end()) return;
  if (const auto* batch = std::get_if<ReplicationBatch>(&message.body)) {
    apply_batch(now, message.from, *batch);
  } else if (const auto* ack = std::get_if<ReplicationAck>(&message.body)) {
    Peer& peer = it->second;
    peer.echoed_clock = std::max(peer.echoed_clock, ack->clock);
    if (ack->generation != generation_) {
      peer.acked = 0, peer.heartbeat_at = now;  // it has a replica of another generation, or none
      return;
    }
    if (ack->up_to > fact_log_.last_sequence()) return;
    peer.acked = ack->up_to, peer.in_flight = std::min(peer.in_flight, peer.acked);
  }
}

std::vector<Entry> Replication::take_received() { return std::exchange(received_, {}); }

std::vector<Entry> Replication::trusted_entries(Instant now) const {
  std::vector<std::vector<Entry>> sources;
  for (const auto& [member, replica] : replicas_) {
    if (!replica.confirmed) continue;
    auto entries = replica.log.after(0);
    // Entries learned after the last full confirmation are dated back to it, which is the safe side.
    for (auto& entry : entries) entry.learned = std::min(entry.learned, *replica.confirmed);
    sources.push_back(recovery::select_trusted(entries, *replica.confirmed, now).applicable);
  }
  return recovery::merge(std::move(sources));
}

std::optional<GroupTable> leader_table(const std::map<MemberId, Replication::Replica>& replicas,
                                       const std::string& group, Instant now) {
  const Replication::Replica* leader = nullptr;
  const Entry* newest = nullptr;
  for (const auto& [member, replica] : replicas) {
    if (!replica.confirmed || now - *replica.confirmed > kLeaderTimeout) continue;
    const auto it = replica.log.entries().find({FactKind::group_table, group});
    if (it == replica.log.entries().end() || it->second.deleted || !it->second.fact.figures.contains("table"))
      continue;
    if (newest != nullptr && newest->learned >= it->second.learned) continue;
    leader = &replica, newest = &it->second;
  }
  if (leader == nullptr) return {};
  const std::string table = std::to_string(static_cast<long>(newest->fact.figures.at("table")));
  GroupTable result;
  const auto& entries = leader->log.entries();
  const std::string prefix = table + "/";
  for (auto it = entries.lower_bound({FactKind::table_lines, prefix});
       it != entries.end() && it->first.kind == FactKind::table_lines && it->first.name.starts_with(prefix);
       ++it)
    if (!it->second.deleted)
      for (const auto& [backend, weight] : it->second.fact.figures) result.weights[backend] = weight;
  if (const auto it = entries.find({FactKind::table_levels, table});
      it != entries.end() && !it->second.deleted)
    for (const auto& [name, value] : it->second.fact.figures) {
      const auto at = name.find(' ');
      if (at == std::string::npos) continue;
      auto& [tries, level] = result.levels.try_emplace(name.substr(at + 1), 1, 1.0).first->second;
      if (name.starts_with("tries ")) tries = static_cast<int>(std::clamp(value, 0.0, 3.0));
      if (name.starts_with("level ")) level = value;
    }
  if (result.weights.empty()) return {};
  return result;
}

}  // namespace gorsemount::cluster
