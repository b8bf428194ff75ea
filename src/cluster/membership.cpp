#include "cluster/membership.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gorsemount::cluster {

namespace {

// Enough that updates spread faster than one change per ping, few enough that a message fits into one packet.
constexpr std::size_t kMaxUpdatesPerMessage = 6;
// Each update is sent this many times log2 of the cluster size. With fewer, about one update in some
// thousands failed to reach all members.
constexpr double kRetransmitMultiplier = 3;

}  // namespace

Membership::Membership(MemberId self, std::vector<MemberId> others, MembershipSettings settings,
                       std::uint64_t seed, Instant now)
    : self_{self}, settings_{settings}, rng_{static_cast<std::uint32_t>(seed)}, next_ping_{now} {
  set_members(now, std::move(others));
  self_retransmits_left_ = retransmit_limit();
}

void Membership::set_members(Instant now, std::vector<MemberId> others) {
  std::erase(others, self_);
  std::erase_if(records_, [&](const auto& record) {
    return std::find(others.begin(), others.end(), record.first) == others.end();
  });
  // New members start as alive at incarnation 0, which any update of their own overrides.
  for (const auto member : others) records_.try_emplace(member, MemberRecord{MemberState::alive, 0, now, 0});
  if (probe_ && !records_.contains(probe_->target)) probe_.reset();
  ping_order_.clear(), next_index_ = 0;
}

int Membership::retransmit_limit() const {
  return static_cast<int>(
      std::ceil(kRetransmitMultiplier * std::log2(static_cast<double>(records_.size()) + 2)));
}

Span Membership::suspicion_timeout() const {
  return settings_.ping_interval * (settings_.suspicion_multiplier *
                                    std::max(1.0, std::log2(static_cast<double>(records_.size()) + 1)));
}

MemberState Membership::state_of(MemberId member) const {
  if (member == self_) return MemberState::alive;
  const auto it = records_.find(member);
  return it == records_.end() ? MemberState::gone : it->second.state;
}

std::vector<MemberId> Membership::alive() const {
  std::vector<MemberId> members{self_};
  for (const auto& [member, record] : records_)
    if (record.state != MemberState::gone) members.push_back(member);
  std::sort(members.begin(), members.end());
  return members;
}

void Membership::queue_update(MemberId member) {
  if (const auto it = records_.find(member); it != records_.end())
    it->second.retransmits_left = retransmit_limit();
}

std::vector<MemberUpdate> Membership::updates() {
  // The least often sent first, so that recent updates go out before older ones.
  std::vector<std::pair<int, MemberId>> due;
  for (const auto& [member, record] : records_)
    if (record.retransmits_left > 0) due.emplace_back(-record.retransmits_left, member);
  std::sort(due.begin(), due.end());
  std::vector<MemberUpdate> selected;
  if (self_retransmits_left_ > 0)
    --self_retransmits_left_, selected.push_back({self_, MemberState::alive, incarnation_});
  for (const auto& [retransmits_left, member] : due) {
    if (selected.size() >= kMaxUpdatesPerMessage) break;
    MemberRecord& record = records_.at(member);
    --record.retransmits_left;
    selected.push_back({member, record.state, record.incarnation});
  }
  return selected;
}

void Membership::apply_updates(Instant now, const std::vector<MemberUpdate>& updates) {
  for (const auto& update : updates) {
    if (update.member == self_) {
      // Refutes a suspicion of this member with a higher incarnation, which only it may raise.
      if (update.state != MemberState::alive) {
        incarnation_ = std::max(incarnation_, update.incarnation + 1);
        // Restarted even if it was refuted before: the earlier refutation may have reached nobody.
        self_retransmits_left_ = retransmit_limit();
      }
      continue;
    }
    const auto it = records_.find(update.member);
    if (it == records_.end()) continue;
    MemberRecord& record = it->second;
    const bool newer = update.incarnation > record.incarnation ||
                       (update.incarnation == record.incarnation && update.state > record.state);
    if (!newer) continue;
    if (record.state != update.state) record.changed_at = now;
    record.state = update.state, record.incarnation = update.incarnation;
    queue_update(update.member);
  }
}

void Membership::send(MemberId to, Body body) { outbox_.push_back({self_, to, std::move(body), {}}); }

void Membership::receive(Instant now, const Message& message) {
  if (!records_.contains(message.from)) return;
  apply_updates(now, message.updates);
  if (const auto* ping = std::get_if<Ping>(&message.body)) {
    send(message.from, Ack{ping->request_id});
    // A ping shows that the sender runs; if it is suspected here, the answer lets it refute that.
    if (records_.at(message.from).state != MemberState::alive) queue_update(message.from);
  } else if (const auto* ack = std::get_if<Ack>(&message.body)) {
    if (probe_ && probe_->request_id == ack->request_id) {
      // An answer shows that the process and the path work, but only a new incarnation ends a suspicion.
      if (records_.at(probe_->target).state != MemberState::alive) queue_update(probe_->target);
      probe_.reset();
    }
    for (const auto& relayed : relayed_pings_)
      if (relayed.request_id == ack->request_id) send(relayed.requester, Ack{relayed.requester_request_id});
    std::erase_if(relayed_pings_,
                  [&](const RelayedPing& relayed) { return relayed.request_id == ack->request_id; });
  } else if (const auto* request = std::get_if<PingRequest>(&message.body)) {
    if (!records_.contains(request->target)) return;
    relayed_pings_.push_back(
        {message.from, request->request_id, ++last_request_id_, now + settings_.ping_interval});
    send(request->target, Ping{last_request_id_});
  }
}

std::vector<Message> Membership::tick(Instant now) {
  std::erase_if(relayed_pings_, [&](const RelayedPing& relayed) { return relayed.until <= now; });
  if (probe_ && !probe_->indirect_sent && now >= probe_->sent + settings_.ping_timeout) {
    probe_->indirect_sent = true;
    std::vector<MemberId> relays;
    for (const auto& [member, record] : records_)
      if (member != probe_->target && record.state == MemberState::alive) relays.push_back(member);
    std::shuffle(relays.begin(), relays.end(), rng_);
    relays.resize(std::min(relays.size(), static_cast<std::size_t>(settings_.relays)));
    for (const auto relay : relays) send(relay, PingRequest{probe_->target, probe_->request_id});
  }
  if (probe_ && now >= probe_->deadline) {
    MemberRecord& record = records_.at(probe_->target);
    if (record.state == MemberState::alive) {
      record.state = MemberState::suspected, record.changed_at = now;
      queue_update(probe_->target);
    }
    probe_.reset();
  }
  for (auto& [member, record] : records_)
    if (record.state == MemberState::suspected && now - record.changed_at >= suspicion_timeout()) {
      record.state = MemberState::gone, record.changed_at = now;
      queue_update(member);
    }
  if (now >= next_ping_ && !records_.empty()) {
    next_ping_ = std::max(next_ping_ + settings_.ping_interval, now);
    if (!probe_) {
      if (next_index_ >= ping_order_.size()) {
        // Pings each member once a round in a new random order, so that none waits longer than two rounds.
        // Includes those that are gone, so that their return is detected.
        ping_order_.clear(), next_index_ = 0;
        for (const auto& [member, record] : records_) ping_order_.push_back(member);
        std::shuffle(ping_order_.begin(), ping_order_.end(), rng_);
      }
      const MemberId to = ping_order_[next_index_++];
      probe_ = Probe{to, ++last_request_id_, now, now + settings_.ping_interval, false};
      send(to, Ping{last_request_id_});
    }
  }
  for (auto& message : outbox_)
    if (message.updates.empty()) {
      message.updates = updates();
      // A member not considered alive must always be told, so that it can refute that.
      const auto it = records_.find(message.to);
      if (it != records_.end() && it->second.state != MemberState::alive)
        message.updates.push_back({message.to, it->second.state, it->second.incarnation});
    }
  return std::exchange(outbox_, {});
}

Instant Membership::wake_at() const {
  // Without other members nothing is ever due.
  Instant next = records_.empty() ? Instant{} + Span::micros(INT64_MAX) : next_ping_;
  if (probe_)
    next = std::min(next, probe_->indirect_sent ? probe_->deadline : probe_->sent + settings_.ping_timeout);
  for (const auto& [member, record] : records_)
    if (record.state == MemberState::suspected)
      next = std::min(next, record.changed_at + suspicion_timeout());
  return next;
}

}  // namespace gorsemount::cluster
