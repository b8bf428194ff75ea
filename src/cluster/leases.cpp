#include "cluster/leases.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace gorsemount::cluster {

namespace {

// After a hand-over the old leader seeks no election for this many lease durations, so that the new leader
// requests its votes first.
constexpr double kHandOverBackoffLeases = 1.0;

// At most one shard moves for balance in this many lease durations, so that a member that rejoins does not
// make all forwarders reconnect at once.
constexpr double kRebalanceIntervalLeases = 1.0;

std::uint64_t weight(ShardId shard, MemberId member) {
  const std::array<std::uint16_t, 2> key{shard.value, member.value};
  return XXH3_64bits(key.data(), sizeof key);
}

}  // namespace

MemberId preferred_leader(ShardId shard, const std::vector<MemberId>& alive) {
  MemberId best{};
  std::uint64_t heaviest = 0;
  for (const auto member : alive)
    if (const auto w = weight(shard, member); w >= heaviest) heaviest = w, best = member;
  return best;
}

std::map<ShardId, MemberId> assign_leaders(std::size_t shards, const std::vector<MemberId>& alive) {
  std::map<ShardId, MemberId> leaders;
  std::map<MemberId, std::size_t> load;
  if (alive.empty()) return leaders;
  const std::size_t max_shards = (shards + alive.size() - 1) / alive.size() + 1;
  for (std::size_t k = 0; k < shards; ++k) {
    const ShardId shard{static_cast<std::uint16_t>(k)};
    std::vector<MemberId> order = alive;
    std::sort(order.begin(), order.end(),
              [&](MemberId a, MemberId b) { return weight(shard, a) > weight(shard, b); });
    const auto candidate =
        std::find_if(order.begin(), order.end(), [&](MemberId m) { return load[m] < max_shards; });
    leaders[shard] = candidate == order.end() ? order.front() : *candidate;
    ++load[leaders[shard]];
  }
  return leaders;
}

Leases::Leases(MemberId self, std::vector<MemberId> others, std::size_t shards, LeaseSettings settings,
               Instant now, Term term_floor)
    : self_{self},
      peers_{std::move(others)},
      shards_{shards},
      settings_{settings},
      no_votes_before_{now + settings.duration * (1 + settings.max_clock_drift)},
      wake_at_{now} {
  std::erase(peers_, self_);
  for (std::size_t k = 0; k < shards_; ++k)
    highest_terms_[ShardId{static_cast<std::uint16_t>(k)}] = term_floor;
}

void Leases::observe_term(Instant now, ShardId shard, Term term) {
  if (shard.value >= shards_) return;
  Term& seen = highest_terms_[shard];
  if (term <= seen) return;
  seen = term;
  const auto held = held_leases_.find(shard);
  if (held != held_leases_.end() && held->second.term < term) hand_over(now, shard, self_);
  // No other member was meant to take over, so this one may seek election again at once.
  handed_over_.erase(shard);
}

Term Leases::highest_term(ShardId shard) const {
  const auto it = highest_terms_.find(shard);
  return it == highest_terms_.end() ? Term{} : it->second;
}

std::optional<Term> Leases::held_term(ShardId shard, Instant now) const {
  const auto it = held_leases_.find(shard);
  if (it == held_leases_.end() || now >= it->second.until) return {};
  return it->second.term;
}

void Leases::send(MemberId to, Body body) { outbox_.push_back({self_, to, std::move(body), {}}); }

// A voter promises the lease to one member at a time, and never for a term below one it has seen.
bool Leases::grant(Instant now, ShardId shard, Term term, MemberId to) {
  Term& seen = highest_terms_[shard];
  const auto it = promises_.find(shard);
  const bool promised = it != promises_.end() && now < it->second.until;
  // The current holder may be granted this term again or a later one: a candidate that missed its majority
  // because a vote was lost must not be locked out by the promises it did get.
  const bool same_holder = it != promises_.end() && it->second.holder == to && term >= it->second.term;
  const bool can_grant =
      now >= no_votes_before_ &&
      ((promised && same_holder) || (!promised && (term > seen || (same_holder && term == seen))));
  seen = std::max(seen, term);
  if (can_grant) promises_[shard] = {term, to, now + settings_.duration * (1 + settings_.max_clock_drift)};
  return can_grant;
}

void Leases::acquire(ShardId shard, const VoteRound& round) {
  // Counted from when the request was sent: every voter granted later than that, for longer.
  held_leases_[shard] = {round.term, round.sent + settings_.duration * (1 - settings_.max_clock_drift)};
}

void Leases::start_vote_round(Instant now, ShardId shard, bool renewal) {
  VoteRound round;
  round.term = renewal ? held_leases_.at(shard).term : Term{highest_term(shard).value + 1};
  round.request_id = ++last_request_id_, round.sent = now, round.retry_at = now + settings_.retry_interval,
  round.renewal = renewal;
  if (grant(now, shard, round.term, self_)) round.granted.insert(self_);
  for (const auto other : peers_) send(other, VoteRequest{shard, round.term, round.request_id});
  if (round.granted.size() * 2 > settings_.cluster_size) acquire(shard, round);
  vote_rounds_[shard] = std::move(round);
}

void Leases::receive(Instant now, const Message& message) {
  if (std::find(peers_.begin(), peers_.end(), message.from) == peers_.end()) return;
  if (const auto* request = std::get_if<VoteRequest>(&message.body)) {
    if (request->shard.value >= shards_) return;
    const bool granted = grant(now, request->shard, request->term, message.from);
    send(message.from, Vote{request->shard, granted ? request->term : highest_term(request->shard),
                            request->request_id, granted});
  } else if (const auto* vote = std::get_if<Vote>(&message.body)) {
    if (vote->shard.value >= shards_) return;
    Term& seen = highest_terms_[vote->shard];
    seen = std::max(seen, vote->term);
    const auto it = vote_rounds_.find(vote->shard);
    if (it == vote_rounds_.end() || it->second.request_id != vote->request_id || !vote->granted) return;
    it->second.granted.insert(message.from);
    if (it->second.granted.size() * 2 > settings_.cluster_size) {
      // A late vote must not win back a shard that was handed over in the meantime.
      if (const auto handed_over = handed_over_.find(vote->shard);
          handed_over == handed_over_.end() || now >= handed_over->second.second)
        acquire(vote->shard, it->second);
      vote_rounds_.erase(it);
    }
  } else if (const auto* release = std::get_if<LeaseRelease>(&message.body)) {
    const auto it = promises_.find(release->shard);
    if (it != promises_.end() && it->second.holder == message.from && it->second.term == release->term)
      it->second.until = now;
  }
}

void Leases::hand_over(Instant now, ShardId shard, std::optional<MemberId> to) {
  const auto it = held_leases_.find(shard);
  if (it == held_leases_.end()) return;
  const Term term = it->second.term;
  held_leases_.erase(it);
  vote_rounds_.erase(shard);
  handed_over_[shard] = {to, now + settings_.duration * kHandOverBackoffLeases};
  // Ends its own promise and, by the release, those of the other voters: no further command is issued under
  // this term.
  if (const auto own = promises_.find(shard); own != promises_.end() && own->second.holder == self_)
    own->second.until = now;
  for (const auto other : peers_) send(other, LeaseRelease{shard, term});
}

std::vector<Message> Leases::tick(Instant now, const std::vector<MemberId>& alive) {
  std::erase_if(handed_over_, [&](const auto& entry) { return now >= entry.second.second; });
  const auto assigned = assign_leaders(shards_, alive);
  // A promise that expired without a renewal, or was released, shows earlier than a ping that its holder no
  // longer leads, so the member assigned without that holder may request votes. If the holder does still
  // lead, the other voters' promises to it prevent a majority.
  std::set<MemberId> lapsed;
  for (const auto& [shard, promise] : promises_)
    if (now >= promise.until && promise.holder != self_) lapsed.insert(promise.holder);
  std::vector<MemberId> remaining = alive;
  std::erase_if(remaining, [&](MemberId m) { return lapsed.contains(m); });
  const auto fallback = lapsed.empty() ? assigned : assign_leaders(shards_, remaining);
  wake_at_ = now + settings_.retry_interval;
  for (std::size_t k = 0; k < shards_; ++k) {
    const ShardId shard{static_cast<std::uint16_t>(k)};
    const auto held = held_leases_.find(shard);
    if (held != held_leases_.end() && now >= held->second.until) held_leases_.erase(shard);
    const auto handed_over = handed_over_.find(shard);
    if (handed_over != handed_over_.end()) continue;
    const auto round = vote_rounds_.find(shard);
    if (round != vote_rounds_.end() && now < round->second.retry_at) continue;
    bool should_lead = assigned.contains(shard) && assigned.at(shard) == self_;
    if (const auto current = held_leases_.find(shard); current != held_leases_.end()) {
      // Another member is assigned: hand the shard over for balance, but only near the end of the lease and
      // never while rebalancing is suspended.
      if (!should_lead && !rebalancing_suspended_ && now >= next_rebalance_ &&
          current->second.until - now < settings_.renew_before) {
        hand_over(now, shard, assigned.at(shard));
        next_rebalance_ = now + settings_.duration * kRebalanceIntervalLeases;
        continue;
      }
      if (current->second.until - now < settings_.renew_before) start_vote_round(now, shard, true);
      wake_at_ = std::min(wake_at_, current->second.until);
      continue;
    }
    const auto promise = promises_.find(shard);
    const bool promised =
        promise != promises_.end() && now < promise->second.until && promise->second.holder != self_;
    if (promise != promises_.end() && !promised && promise->second.holder != self_)
      // Without the fallback, two members could each wait for the other to seek election.
      should_lead = should_lead || (fallback.contains(shard) && fallback.at(shard) == self_);
    if (promised) wake_at_ = std::min(wake_at_, promise->second.until);
    if (should_lead && !promised && now >= no_votes_before_) start_vote_round(now, shard, false);
  }
  return std::exchange(outbox_, {});
}

Instant Leases::wake_at() const { return wake_at_; }

}  // namespace gorsemount::cluster
