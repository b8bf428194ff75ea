#include "cluster/leases.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace gorsemount::cluster {

namespace {

// After a hand-over the old leader stands back this many lease lengths, so that the new one surely asks
// first.
constexpr double kStandBack = 1.0;

// For balance one shard moves in so many lease lengths, so that a member that comes back does not unsettle
// all forwarders at once.
constexpr double kMoveEvery = 1.0;

std::uint64_t weight(ShardId shard, MemberId member) {
  const std::array<std::uint16_t, 2> key{shard.value, member.value};
  return XXH3_64bits(key.data(), sizeof key);
}

}  // namespace

MemberId preferred(ShardId shard, const std::vector<MemberId>& alive) {
  MemberId best{};
  std::uint64_t heaviest = 0;
  for (const auto member : alive)
    if (const auto w = weight(shard, member); w >= heaviest) heaviest = w, best = member;
  return best;
}

std::map<ShardId, MemberId> assignment(std::size_t shards, const std::vector<MemberId>& alive) {
  std::map<ShardId, MemberId> given;
  std::map<MemberId, std::size_t> load;
  if (alive.empty()) return given;
  const std::size_t most = (shards + alive.size() - 1) / alive.size() + 1;
  for (std::size_t k = 0; k < shards; ++k) {
    const ShardId shard{static_cast<std::uint16_t>(k)};
    std::vector<MemberId> order = alive;
    std::sort(order.begin(), order.end(),
              [&](MemberId a, MemberId b) { return weight(shard, a) > weight(shard, b); });
    const auto fit = std::find_if(order.begin(), order.end(), [&](MemberId m) { return load[m] < most; });
    given[shard] = fit == order.end() ? order.front() : *fit;
    ++load[given[shard]];
  }
  return given;
}

Leases::Leases(MemberId self, std::vector<MemberId> others, std::size_t shards, LeaseSettings settings,
               Instant now, Term term_floor)
    : self_{self},
      others_{std::move(others)},
      shards_{shards},
      s_{settings},
      silent_until_{now + settings.duration * (1 + settings.max_clock_drift)},
      wake_{now} {
  std::erase(others_, self_);
  for (std::size_t k = 0; k < shards_; ++k) highest_[ShardId{static_cast<std::uint16_t>(k)}] = term_floor;
}

void Leases::observe_term(Instant now, ShardId shard, Term term) {
  if (shard.value >= shards_) return;
  Term& seen = highest_[shard];
  if (term <= seen) return;
  seen = term;
  const auto held = held_.find(shard);
  if (held != held_.end() && held->second.term < term) hand_over(now, shard, self_);
  // Its own to take up again, at once: nobody else was meant.
  handed_.erase(shard);
}

Term Leases::highest(ShardId shard) const {
  const auto it = highest_.find(shard);
  return it == highest_.end() ? Term{} : it->second;
}

std::optional<Term> Leases::held_term(ShardId shard, Instant now) const {
  const auto it = held_.find(shard);
  if (it == held_.end() || now >= it->second.until) return {};
  return it->second.term;
}

void Leases::send(MemberId to, Body body) { out_.push_back({self_, to, std::move(body), {}}); }

// A voter gives its word for a lease's length, to one at a time, and never for a term below one it has seen.
bool Leases::grant(Instant now, ShardId shard, Term term, MemberId to) {
  Term& seen = highest_[shard];
  const auto it = promises_.find(shard);
  const bool bound = it != promises_.end() && now < it->second.until;
  // To the one that has its word already it may be given again, under this term or a later one: a candidate
  // that missed its majority by a lost vote must not lock itself out.
  const bool same = it != promises_.end() && it->second.holder == to && term >= it->second.term;
  const bool may =
      now >= silent_until_ && ((bound && same) || (!bound && (term > seen || (same && term == seen))));
  seen = std::max(seen, term);
  if (may) promises_[shard] = {term, to, now + s_.duration * (1 + s_.max_clock_drift)};
  return may;
}

void Leases::won(ShardId shard, const Asking& asking) {
  // From when it asked: every voter granted later than that, and keeps its word for longer.
  held_[shard] = {asking.term, asking.sent + s_.duration * (1 - s_.max_clock_drift)};
}

void Leases::ask(Instant now, ShardId shard, bool renewal) {
  Asking asking;
  asking.term = renewal ? held_.at(shard).term : Term{highest(shard).value + 1};
  asking.number = ++number_, asking.sent = now, asking.again = now + s_.retry_interval,
  asking.renewal = renewal;
  if (grant(now, shard, asking.term, self_)) asking.granted.insert(self_);
  for (const auto other : others_) send(other, AskVote{shard, asking.term, asking.number});
  if (asking.granted.size() * 2 > s_.members) won(shard, asking);
  asking_[shard] = std::move(asking);
}

void Leases::receive(Instant now, const Message& m) {
  if (std::find(others_.begin(), others_.end(), m.from) == others_.end()) return;
  if (const auto* a = std::get_if<AskVote>(&m.body)) {
    if (a->shard.value >= shards_) return;
    const bool granted = grant(now, a->shard, a->term, m.from);
    send(m.from, Vote{a->shard, granted ? a->term : highest(a->shard), a->number, granted});
  } else if (const auto* v = std::get_if<Vote>(&m.body)) {
    if (v->shard.value >= shards_) return;
    Term& seen = highest_[v->shard];
    seen = std::max(seen, v->term);
    const auto it = asking_.find(v->shard);
    if (it == asking_.end() || it->second.number != v->number || !v->granted) return;
    it->second.granted.insert(m.from);
    if (it->second.granted.size() * 2 > s_.members) {
      // One that was handed over meanwhile is not taken up again by a late vote.
      if (const auto h = handed_.find(v->shard); h == handed_.end() || now >= h->second.second)
        won(v->shard, it->second);
      asking_.erase(it);
    }
  } else if (const auto* g = std::get_if<GiveUp>(&m.body)) {
    const auto it = promises_.find(g->shard);
    if (it != promises_.end() && it->second.holder == m.from && it->second.term == g->term)
      it->second.until = now;
  }
}

void Leases::hand_over(Instant now, ShardId shard, std::optional<MemberId> to) {
  const auto it = held_.find(shard);
  if (it == held_.end()) return;
  const Term term = it->second.term;
  held_.erase(it);
  asking_.erase(shard);
  handed_[shard] = {to, now + s_.duration * kStandBack};
  // Its word to itself and the others' word to it end here: nothing more is ordered under this term.
  if (const auto own = promises_.find(shard); own != promises_.end() && own->second.holder == self_)
    own->second.until = now;
  for (const auto other : others_) send(other, GiveUp{shard, term});
}

std::vector<Message> Leases::tick(Instant now, const std::vector<MemberId>& alive) {
  std::erase_if(handed_, [&](const auto& row) { return now >= row.second.second; });
  const auto wanted = assignment(shards_, alive);
  // A word that ran out without being asked for again, or was handed back, says sooner than any ping that its
  // holder does not lead: whoever is next without it may ask. If it leads all the same, the others' word
  // stands against that.
  std::set<MemberId> silent;
  for (const auto& [shard, promise] : promises_)
    if (now >= promise.until && promise.holder != self_) silent.insert(promise.holder);
  std::vector<MemberId> rest = alive;
  std::erase_if(rest, [&](MemberId m) { return silent.contains(m); });
  const auto next = silent.empty() ? wanted : assignment(shards_, rest);
  wake_ = now + s_.retry_interval;
  for (std::size_t k = 0; k < shards_; ++k) {
    const ShardId shard{static_cast<std::uint16_t>(k)};
    const auto held = held_.find(shard);
    if (held != held_.end() && now >= held->second.until) held_.erase(shard);
    const auto handed = handed_.find(shard);
    if (handed != handed_.end()) continue;
    const auto asking = asking_.find(shard);
    if (asking != asking_.end() && now < asking->second.again) continue;
    bool mine = wanted.contains(shard) && wanted.at(shard) == self_;
    if (const auto now_held = held_.find(shard); now_held != held_.end()) {
      // Another is to lead it, for balance: not while its end is far, and never while moves are to be kept
      // off.
      if (!mine && !keep_ && now >= next_move_ && now_held->second.until - now < s_.renew_before) {
        hand_over(now, shard, wanted.at(shard));
        next_move_ = now + s_.duration * kMoveEvery;
        continue;
      }
      if (now_held->second.until - now < s_.renew_before) ask(now, shard, true);
      wake_ = std::min(wake_, now_held->second.until);
      continue;
    }
    const auto promise = promises_.find(shard);
    const bool bound =
        promise != promises_.end() && now < promise->second.until && promise->second.holder != self_;
    if (promise != promises_.end() && !bound && promise->second.holder != self_)
      mine = mine || (next.contains(shard) && next.at(shard) == self_);  // or two wait for each other
    if (bound) wake_ = std::min(wake_, promise->second.until);
    if (mine && !bound && now >= silent_until_) ask(now, shard, false);
  }
  return std::exchange(out_, {});
}

Instant Leases::wake_at() const { return wake_; }

}  // namespace gorsemount::cluster
