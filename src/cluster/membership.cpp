#include "cluster/membership.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gorsemount::cluster {

namespace {

// On a message: enough that news outruns a change a ping, few enough that a message stays in one packet.
constexpr std::size_t kRumours = 6;
// A rumour is told this many times the log of the size: with fewer, one in some thousands never gets round.
constexpr double kTellings = 3;

}  // namespace

Membership::Membership(MemberId self, std::vector<MemberId> others, MembershipSettings settings,
                       std::uint64_t seed, Instant now)
    : self_{self}, s_{settings}, chance_{static_cast<std::uint32_t>(seed)}, next_ping_{now} {
  set_members(now, std::move(others));
  self_tells_ = tellings();
}

void Membership::set_members(Instant now, std::vector<MemberId> others) {
  std::erase(others, self_);
  std::erase_if(rows_, [&](const auto& row) {
    return std::find(others.begin(), others.end(), row.first) == others.end();
  });
  // Unknown is alive at incarnation 0: whatever it says of itself counts for more.
  for (const auto member : others) rows_.try_emplace(member, Row{MemberState::alive, 0, now, 0});
  if (probe_ && !rows_.contains(probe_->of)) probe_.reset();
  order_.clear(), next_ = 0;
}

int Membership::tellings() const {
  return static_cast<int>(std::ceil(kTellings * std::log2(static_cast<double>(rows_.size()) + 2)));
}

Span Membership::patience() const {
  return s_.ping_every *
         (s_.suspect_rounds * std::max(1.0, std::log2(static_cast<double>(rows_.size()) + 1)));
}

MemberState Membership::state_of(MemberId member) const {
  if (member == self_) return MemberState::alive;
  const auto it = rows_.find(member);
  return it == rows_.end() ? MemberState::gone : it->second.standing;
}

std::vector<MemberId> Membership::alive() const {
  std::vector<MemberId> members{self_};
  for (const auto& [member, row] : rows_)
    if (row.standing != MemberState::gone) members.push_back(member);
  std::sort(members.begin(), members.end());
  return members;
}

void Membership::say(MemberId member) {
  if (const auto it = rows_.find(member); it != rows_.end()) it->second.tells = tellings();
}

std::vector<MemberUpdate> Membership::updates() {
  // The least told first, so that fresh news goes out before old.
  std::vector<std::pair<int, MemberId>> due;
  for (const auto& [member, row] : rows_)
    if (row.tells > 0) due.emplace_back(-row.tells, member);
  std::sort(due.begin(), due.end());
  std::vector<MemberUpdate> told;
  if (self_tells_ > 0) --self_tells_, told.push_back({self_, MemberState::alive, incarnation_});
  for (const auto& [tells, member] : due) {
    if (told.size() >= kRumours) break;
    Row& row = rows_.at(member);
    --row.tells;
    told.push_back({member, row.standing, row.incarnation});
  }
  return told;
}

void Membership::hear(Instant now, const std::vector<MemberUpdate>& updates) {
  for (const auto& r : updates) {
    if (r.member == self_) {
      // Somebody takes us for dead: a higher incarnation, which only we may say, ends that.
      if (r.standing != MemberState::alive) {
        incarnation_ = std::max(incarnation_, r.incarnation + 1);
        self_tells_ = tellings();  // also if it was said before: what was said may have reached nobody
      }
      continue;
    }
    const auto it = rows_.find(r.member);
    if (it == rows_.end()) continue;
    Row& row = it->second;
    const bool newer =
        r.incarnation > row.incarnation || (r.incarnation == row.incarnation && r.standing > row.standing);
    if (!newer) continue;
    if (row.standing != r.standing) row.since = now;
    row.standing = r.standing, row.incarnation = r.incarnation;
    say(r.member);
  }
}

void Membership::send(MemberId to, Body body) { out_.push_back({self_, to, std::move(body), {}}); }

void Membership::receive(Instant now, const Message& m) {
  if (!rows_.contains(m.from)) return;
  hear(now, m.updates);
  if (const auto* ping = std::get_if<Ping>(&m.body)) {
    send(m.from, Ack{ping->number});
    // It asks, so it runs; if we think otherwise it hears of that on the answer.
    if (rows_.at(m.from).standing != MemberState::alive) say(m.from);
  } else if (const auto* ack = std::get_if<Ack>(&m.body)) {
    if (probe_ && probe_->number == ack->number) {
      // An answer proves the path, and the process; a suspicion is for its incarnation to end.
      if (rows_.at(probe_->of).standing != MemberState::alive) say(probe_->of);
      probe_.reset();
    }
    for (const auto& errand : errands_)
      if (errand.number == ack->number) send(errand.whose, Ack{errand.their_number});
    std::erase_if(errands_, [&](const Errand& e) { return e.number == ack->number; });
  } else if (const auto* help = std::get_if<PingFor>(&m.body)) {
    if (!rows_.contains(help->of)) return;
    errands_.push_back({m.from, help->number, ++number_, now + s_.ping_every});
    send(help->of, Ping{number_});
  }
}

std::vector<Message> Membership::tick(Instant now) {
  std::erase_if(errands_, [&](const Errand& e) { return e.until <= now; });
  if (probe_ && !probe_->helped && now >= probe_->sent + s_.answer_within) {
    probe_->helped = true;
    std::vector<MemberId> helpers;
    for (const auto& [member, row] : rows_)
      if (member != probe_->of && row.standing == MemberState::alive) helpers.push_back(member);
    std::shuffle(helpers.begin(), helpers.end(), chance_);
    helpers.resize(std::min(helpers.size(), static_cast<std::size_t>(s_.helpers)));
    for (const auto helper : helpers) send(helper, PingFor{probe_->of, probe_->number});
  }
  if (probe_ && now >= probe_->ends) {
    Row& row = rows_.at(probe_->of);
    if (row.standing == MemberState::alive) {
      row.standing = MemberState::suspected, row.since = now;
      say(probe_->of);
    }
    probe_.reset();
  }
  for (auto& [member, row] : rows_)
    if (row.standing == MemberState::suspected && now - row.since >= patience()) {
      row.standing = MemberState::gone, row.since = now;
      say(member);
    }
  if (now >= next_ping_ && !rows_.empty()) {
    next_ping_ = std::max(next_ping_ + s_.ping_every, now);
    if (!probe_) {
      if (next_ >= order_.size()) {
        // Each once a round, in an order drawn anew: nobody waits longer than two rounds. Those that are gone
        // too, so that they are found when they come back.
        order_.clear(), next_ = 0;
        for (const auto& [member, row] : rows_) order_.push_back(member);
        std::shuffle(order_.begin(), order_.end(), chance_);
      }
      const MemberId to = order_[next_++];
      probe_ = Probe{to, ++number_, now, now + s_.ping_every, false};
      send(to, Ping{number_});
    }
  }
  for (auto& m : out_)
    if (m.updates.empty()) {
      m.updates = updates();
      // One that we do not hold for alive must hear so, whatever else is to be told.
      const auto it = rows_.find(m.to);
      if (it != rows_.end() && it->second.standing != MemberState::alive)
        m.updates.push_back({m.to, it->second.standing, it->second.incarnation});
    }
  return std::exchange(out_, {});
}

Instant Membership::wake_at() const {
  // Alone there is nobody to ask, and nothing is ever due.
  Instant next = rows_.empty() ? Instant{} + Span::micros(INT64_MAX) : next_ping_;
  if (probe_) next = std::min(next, probe_->helped ? probe_->ends : probe_->sent + s_.answer_within);
  for (const auto& [member, row] : rows_)
    if (row.standing == MemberState::suspected) next = std::min(next, row.since + patience());
  return next;
}

}  // namespace gorsemount::cluster
