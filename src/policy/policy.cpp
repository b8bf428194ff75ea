// gorsemount's decisions, whole. The interface is policy.hpp. A host makes one Policy for each
// coordinator, hands all that came in at one time to handle(), and carries out the orders in the
// order returned. A pass has three parts: note() takes the events in; want() works out the wanted
// table, levels and bindings; emit() turns the difference to the present state into orders.
//
// The mechanism (docs/design.md): one table for all proxies, weight = listed weight x ladder share.
// A ladder steps a silo's share down on a sustained failure signal, and back up in trial steps. There
// are ladders for zones, for single backends (the smallest silo) and for the links between zones.
#include "policy/policy.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace gorsemount {

namespace {

constexpr TableId kShared{0};            // the one shared table; a cut-off zone's proxies get another
const Span kTick = Span::seconds(0.25);  // finer than any timer below, far above the host's resolution
constexpr double kNoLevel = 1e6;         // a rate that no proxy reaches: everything is let in
constexpr std::size_t kRoundsKept = 8;   // longest look-back below (zones: 200 answers) in rounds

// One report round as it bears on one backend.
struct Sample {
  Instant heard;
  double tries = 0;
  double errored = 0;
  double expected = 0;         // tries due to it by weight; 0 while its weight is on the move
  double latency = 0;          // mean of the succeeded, s
  std::optional<double> busy;  // part of its processors in use, as it tells
};

// Evidence summed over some samples.
struct Tally {
  double tries = 0;
  double errored = 0;
  double expected = 0;
  [[nodiscard]] double share() const { return tries > 0 ? errored / tries : 0; }
  Tally& operator+=(const Tally& o) {
    tries += o.tries, errored += o.errored, expected += o.expected;
    return *this;
  }
};

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values.empty() ? 0 : values[values.size() / 2];
}

enum class Verdict { unknown, well, slow, failed };

// The steps of a ladder; three scopes use it.
struct Steps {
  double down;  // part of the full share taken each step of a drain
  Span down_every;
  Span hold;  // from the end of the drain to the trial
  double up;  // part of the full share given back each step
  Span up_every;
};

// A small silo (a backend, a link) holds little, so it falls in one step; it is tried with a hundredth
// of the traffic, as a zone is, and climbs in thirds.
Steps small_steps() { return {1.0, Span{}, Span::seconds(4), 1.0 / 3, Span::seconds(2)}; }

struct Ladder {
  double share = 1;
  bool falling = false;  // a drain runs to its end
  std::optional<Instant> bad_since;
  Instant next;        // earliest next step
  Instant changed;     // when the share last moved
  int relapses = 0;    // trials that failed
  bool eased = false;  // it was slow: it climbs by small steps

  [[nodiscard]] bool whole() const { return share >= 1 && !falling; }
  void advance(Instant now, const Steps& steps, Verdict verdict, double trial);
  void move(double to, Instant now, Span wait) {
    share = std::clamp(to, 0.0, 1.0), changed = now, next = now + wait;
  }
};

void Ladder::advance(Instant now, const Steps& steps, Verdict verdict, double trial) {
  if (verdict == Verdict::failed && !falling && share > 0) {
    if (share < 1) ++relapses;
    falling = true, next = now;
  }
  if (now < next) return;
  if (falling) {
    move(share - steps.down, now, steps.down_every);
    // A relapse doubles the hold, three times at most: flapping must not meet the step timers.
    if (share < 1e-9) move(0, now, steps.hold * (1 << std::min(relapses, 3))), falling = false;
  } else if (share <= 0) {
    move(trial, now, steps.up_every);
  } else if (verdict == Verdict::slow) {
    // Slow is not broken: a quarter less, never out, and back by small steps.
    eased = true;
    move(std::max(0.1, share * 0.75), now, steps.up_every * 2);
  } else if (share < 1) {
    if (verdict == Verdict::well)
      move(share + (eased || relapses > 0 ? steps.up / 4 : steps.up), now, steps.up_every);
  } else if (now - changed > steps.hold * 4) {
    relapses = 0, eased = false;
  }
}

struct Backend {
  Listed::Entry listed;
  Ladder ladder;
  std::deque<Sample> samples;
  std::optional<Instant> line_moved;  // when its line in the table last changed
};

// The way from the proxies of one zone to the backends of another.
struct Link {
  Ladder ladder;
  std::deque<std::pair<Instant, Tally>> rounds;
};

struct Level {
  FurtherTries tries = FurtherTries::after_proof;
  double level = 1;
};

struct Table {
  std::map<BackendId, double> lines;
  std::vector<Level> levels;
};

}  // namespace

struct Policy::State {
  State(Settings given, std::uint64_t seed) : s{std::move(given)}, chance{static_cast<std::uint32_t>(seed)} {
    double sum = 0;
    for (const auto& op : s.operations) sum += op.latency_objective.seconds();
    if (sum > 0) objective = sum / static_cast<double>(s.operations.size());
  }

  std::vector<Order> handle(Instant at, const std::vector<Event>& events);

  void note(const Listed& e);
  void note(const TimerFired&) {}
  void note(const ProxyJoined& e) { joined[e.proxy] = e.zone, bound.erase(e.proxy); }
  void note(const ProxyLeft& e);
  void note(const BackendReport& e) { round.push_back(e); }
  void note(const DemandReport& e);
  void close_round();

  [[nodiscard]] bool ready(const Backend& b) const { return b.listed.availability == Availability::ready; }
  [[nodiscard]] double warmth(const Backend& b) const;
  [[nodiscard]] double listed_weight(const Backend& b) const;
  [[nodiscard]] Tally tally(const Backend& b, std::size_t rounds, Instant since) const;
  [[nodiscard]] double lateness(const Backend& b, Instant since) const;
  [[nodiscard]] Verdict judge(const Backend& b) const;
  [[nodiscard]] bool may_condemn(const Backend& b) const;
  [[nodiscard]] double pressure() const;
  [[nodiscard]] double common_errors() const;
  void judge_backends();
  void judge_zones();
  void judge_links();
  [[nodiscard]] TableId table_of(ZoneId proxies_in) const;
  void follow_list();

  void want();
  void want_levels();
  void emit();
  [[nodiscard]] double queued() const;

  Settings s;
  std::mt19937 chance;
  Instant now;
  std::vector<Order> out;

  std::map<BackendId, Backend> roster;
  std::map<ZoneId, Ladder> zones;
  std::map<std::pair<ZoneId, ZoneId>, Link> links;  // from the proxies' zone to the backends'
  std::vector<BackendReport> round;
  std::size_t demand_lines = 0;  // of the round at hand
  double strain = 0;             // errors that all share, over the last two rounds
  double objective = 1;          // mean latency objective, s
  double usual_lateness = 0;     // the median backend's, s
  std::map<std::pair<ProxyId, OperationId>, double> demand;  // invocations a second, as last told

  std::map<TableId, Table> wanted;
  std::vector<Level> wanted_levels;
  std::deque<double> carried;        // the last rounds: cost a second for full use, by listed weight
  std::deque<double> succeeded_log;  // succeeded tries of the last rounds
  double press = 1;                  // tries now, by the most that succeeded in one of those rounds
  double trim = 1;
  bool limiting = false;                     // some level is below full
  std::deque<std::vector<Level>> level_log;  // of the last two rounds: reports answer to the first

  std::map<TableId, Table> present;
  Table& shared = present[kShared];
  std::map<ProxyId, ZoneId> joined;
  std::map<ProxyId, TableId> bound;

  bool following = false;
  std::optional<Instant> ask_at;  // when the list is to be asked for again
  std::optional<Instant> wake_at;
  double queue = 0;  // lines in the channel, reckoned at queue_at
  Instant queue_at;
  std::deque<Instant> messages;
};

// ---- What is heard -------------------------------------------------------------------------------

void Policy::State::note(const Listed& e) {
  if (e.scope == ListScope::failed) {
    following = false;
    // Instances that failed together must not ask together again.
    ask_at = now + Span::seconds(std::uniform_real_distribution<>{0.2, 1.0}(chance));
    return;
  }
  if (e.scope != ListScope::remembered) following = true;
  std::set<BackendId> seen;
  for (const auto& entry : e.entries) {
    seen.insert(entry.backend);
    if (entry.availability == Availability::gone) {
      roster.erase(entry.backend);
      continue;
    }
    auto [it, fresh] = roster.try_emplace(entry.backend);
    const bool restarted = !fresh && entry.started && it->second.listed.started != entry.started;
    if (restarted) it->second = Backend{};  // what was heard of the process before says nothing of this one
    it->second.listed = entry;
  }
  if (e.scope == ListScope::changes) return;
  std::erase_if(roster, [&](const auto& row) { return !seen.contains(row.first); });
}

void Policy::State::note(const ProxyLeft& e) {
  bound.erase(e.proxy);
  joined.erase(e.proxy);
  std::erase_if(demand, [&](const auto& row) { return row.first.first == e.proxy; });
}

void Policy::State::note(const DemandReport& e) {
  if (e.over <= Span{} || e.operation.value >= s.operations.size()) return;
  ++demand_lines;
  demand[{e.proxy, e.operation}] = e.arrived / e.over.seconds();
}

// Turns the lines of one report round into a sample for every backend; no line is evidence too.
void Policy::State::close_round() {
  if (round.empty()) return;
  judge_links();
  std::map<BackendId, Sample> heard;
  std::map<ZoneId, double> from;  // tries
  Tally all;
  for (const auto& r : round) {
    // What is lost on a link that is cut says nothing of the backend behind it.
    const auto row = roster.find(r.backend);
    const auto link = row == roster.end() ? links.end() : links.find({r.proxies_in, row->second.listed.zone});
    if (link != links.end() && !link->second.ladder.whole()) continue;
    auto& sample = heard[r.backend];
    const double ok = r.tries - r.errored;
    const double ok_before = sample.tries - sample.errored;
    if (ok > 0)
      sample.latency = (sample.latency * ok_before + r.mean_latency.seconds() * ok) / (ok_before + ok);
    sample.tries += r.tries;
    sample.errored += r.errored;
    if (r.busy) sample.busy = r.busy;
    all.tries += r.tries, all.errored += r.errored;
    from[r.proxies_in] += r.tries;
  }
  const Span settled =
      s.report_every * 2 + Span::seconds(1.5);  // a round's own span, its delay and an order's way
  // Where the report lines fill what the host hands on, some wait their turn: no line is no silence.
  const double handed = static_cast<double>(round.size() + demand_lines);
  const bool cut_short = handed >= 0.9 * s.intake * s.report_every.seconds();
  for (auto& [id, b] : roster) {
    Sample sample = heard[id];
    sample.heard = now;
    const bool steady = !b.line_moved || now - *b.line_moved > settled;
    for (const auto& [zone, tries] : from) {
      const auto& lines = present[table_of(zone)].lines;
      double total = 0;
      for (const auto& [other, weight] : lines) total += weight;
      const auto line = lines.find(id);
      if (line != lines.end() && steady && !cut_short) sample.expected += tries * line->second / total;
    }
    b.samples.push_back(sample);
    if (b.samples.size() > kRoundsKept) b.samples.pop_front();
  }
  round.clear();
  demand_lines = 0;
  strain = common_errors();
  succeeded_log.push_back(all.tries - all.errored);
  if (succeeded_log.size() > kRoundsKept) succeeded_log.pop_front();
  press = all.tries / std::max(1.0, *std::max_element(succeeded_log.begin(), succeeded_log.end()));
  std::vector<double> all_late;
  for (const auto& [id, b] : roster)
    if (const double late = lateness(b, now - s.report_every * 5); late > 0) all_late.push_back(late);
  usual_lateness = median(std::move(all_late));
  want_levels();
}

// ---- What it means -------------------------------------------------------------------------------

// The part of full weight that a starting backend may have: by what the settings guarantee of its
// capacity, squared, since a short burst or a slow machine must not tip it. As a fleet tips over,
// proxies leave the lines that fail them and press on the rest, whatever its weight: so in a hot fleet
// a newcomer stays out until even a full line's part of all that is sent can't tip it.
double Policy::State::warmth(const Backend& b) const {
  const bool told = b.listed.started && s.cold_for > Span{};
  const double age = told ? (now - *b.listed.started).seconds() / s.cold_for.seconds() : 1;
  if (age >= 1) return 1;
  const double sure = std::clamp(s.cold_from + (1 - s.cold_from) * age, s.cold_from, 1.0);
  const bool hot = strain > 0.2 || usual_lateness > 0.5 * objective || pressure() > 0.75;
  // A fleet can tip within the 3 s that reports take: its line must bear 2.4 times its part in any case.
  // Before its first round a coordinator can't tell.
  if (succeeded_log.empty() || s.tip_multiple * sure < std::max(2.4, hot ? 1.2 * press : 0)) return 0;
  return sure * sure * (1 - strain);
}

double Policy::State::listed_weight(const Backend& b) const {
  return b.listed.weight > 0 ? b.listed.weight : 1;
}

Tally Policy::State::tally(const Backend& b, std::size_t most, Instant since) const {
  Tally t;
  for (auto it = b.samples.rbegin(); it != b.samples.rend() && most > 0 && it->heard > since; ++it, --most)
    t += Tally{it->tries, it->errored, it->expected};
  return t;
}

// Mean time to an answer over the last rounds; an error counts as two objectives. 0: too few to tell.
double Policy::State::lateness(const Backend& b, Instant since) const {
  double sum = 0, n = 0;
  std::size_t k = 0;
  for (auto it = b.samples.rbegin(); it != b.samples.rend() && k < 4 && it->heard > since; ++it, ++k)
    sum += (it->tries - it->errored) * it->latency + it->errored * 2 * objective, n += it->tries;
  return n >= 6 ? sum / n : 0;
}

// A backend's signal: many errors beside its peers or answers that are missing (failed), or answers
// that come too late to count while its peers' do not (slow).
Verdict Policy::State::judge(const Backend& b) const {
  // Evidence on a step counts once its effect can have been heard.
  const Span lag = s.report_every + Span::seconds(1.0);
  const Instant since = b.ladder.whole() ? Instant::at_seconds(-1e9) : b.ladder.changed + lag;
  const Tally own = tally(b, 2, since);
  Tally peers;
  for (const auto& [id, p] : roster)
    if (&p != &b && p.ladder.share > 0) peers += tally(p, 2, now - s.report_every * 3);
  const double late = lateness(b, since);
  // Where the fleet is calm a wider margin keeps ordinary weights as listed.
  const double part = usual_lateness < 0.3 * objective ? 0.6 : 0.5;
  // Full processors in a loaded fleet, beside the peers', come before late answers.
  double busy = 0, told = 0;
  for (auto it = b.samples.rbegin(); it != b.samples.rend() && told < 3 && it->heard > since; ++it)
    if (it->busy) busy += *it->busy, ++told;
  const bool full = told >= 2 && pressure() > 0.55 && busy / told > std::max(0.9, 1.2 * pressure());
  const bool slow = full || late > std::max(part * objective, 1.3 * usual_lateness);
  // Missing: silence where 7 tries were due (by chance once in a thousand rounds). Where all lines
  // are late nothing is due, since what is due is a part of what was heard.
  const bool missing = own.expected >= 7 && own.tries < 0.1 * own.expected;
  // Errors: a third of four answers or more, and three times the peers' share. In an overload all
  // fail alike, and none is condemned.
  const bool errors = own.tries >= 4 && own.errored >= 3 && own.share() > std::max(0.3, 3 * peers.share());
  if (missing || errors) {
    // Late answers shortly before mean a jam, which less work clears; prompt ones mean a break.
    double answered = 0;
    std::size_t k = 0;
    for (auto it = b.samples.rbegin(); it != b.samples.rend() && k < 4; ++it, ++k)
      if (it->tries > it->errored) answered = std::max(answered, it->latency);
    return answered > std::max(0.6 * objective, 1.5 * usual_lateness) ? Verdict::slow : Verdict::failed;
  }
  if (slow) return Verdict::slow;
  return own.tries >= 2 && own.share() < 0.2 && late < 1.1 * usual_lateness ? Verdict::well
                                                                            : Verdict::unknown;
}

// Panic bound: a view that condemns more than two fifths of the weight is likelier wrong than right.
bool Policy::State::may_condemn(const Backend& b) const {
  double out_weight = listed_weight(b);
  double total = 0;
  for (const auto& [id, p] : roster) {
    if (!ready(p)) continue;
    total += listed_weight(p);
    if (&p != &b) out_weight += listed_weight(p) * (p.ladder.falling ? 1 : 1 - p.ladder.share);
  }
  return out_weight <= 0.4 * total;
}

void Policy::State::judge_backends() {
  const Steps steps = small_steps();
  double total = 0;
  for (const auto& [id, b] : roster) total += ready(b) ? listed_weight(b) : 0;
  for (auto& [id, b] : roster) {
    Verdict verdict = judge(b);
    if (verdict >= Verdict::slow && !may_condemn(b)) verdict = Verdict::unknown;
    const double trial = std::min(1.0, 0.01 * total / listed_weight(b));
    b.ladder.advance(now, steps, verdict, trial);
  }
}

void Policy::State::judge_zones() {
  const Steps steps{1.0 / 3, Span::seconds(2), Span::seconds(10), 0.1, Span::seconds(3)};
  std::map<ZoneId, Tally> heard;
  std::map<ZoneId, double> weight;
  double total = 0;
  for (const auto& [id, b] : roster) {
    if (!ready(b)) continue;
    const double w = listed_weight(b);
    weight[b.listed.zone] += w, total += w;
    zones.try_emplace(b.listed.zone);
    // A backend that is out on its own ladder is answered already.
    if (b.ladder.whole()) heard[b.listed.zone] += tally(b, kRoundsKept, zones[b.listed.zone].changed);
  }
  for (auto& [zone, ladder] : zones) {
    const Tally own = heard[zone];
    bool bad = own.tries >= 200 && own.share() > 0.05;
    int others = 0;
    for (const auto& [other, t] : heard) {
      if (other == zone) continue;
      bad = bad && own.share() > 2 * t.share() && zones[other].whole();
      others += weight[other] > 0 ? 1 : 0;
    }
    // Survivors need room for what the zone gives up.
    bad = bad && others >= 2 && pressure() * total < 0.95 * (total - weight[zone]);
    if (!bad) ladder.bad_since.reset();
    if (bad && !ladder.bad_since) ladder.bad_since = now;
    const bool sustained = bad && now - *ladder.bad_since >= Span::seconds(3);
    Verdict verdict = own.share() <= 0.05 ? Verdict::well : Verdict::unknown;
    if (sustained) verdict = Verdict::failed;
    const double trial = weight[zone] > 0 ? std::min(1.0, 0.01 * total / weight[zone]) : 1;
    ladder.advance(now, steps, verdict, trial);
  }
}

// A link is cut when the tries on it fail and other zones' proxies reach the same backends. The post's
// own story: no backend is to blame, so the cut-off proxies are kept to what they reach (the post's silo).
void Policy::State::judge_links() {
  std::map<std::pair<ZoneId, ZoneId>, Tally> heard;
  for (const auto& r : round) {
    const auto row = roster.find(r.backend);
    if (row == roster.end() || row->second.ladder.share <= 0) continue;
    heard[{r.proxies_in, row->second.listed.zone}] +=
        Tally{static_cast<double>(r.tries), static_cast<double>(r.errored), 0};
  }
  for (auto& [key, tally] : heard) links[key].rounds.emplace_back(now, tally);
  const Span lag = s.report_every + Span::seconds(1.0);
  std::map<std::pair<ZoneId, ZoneId>, Tally> recent;
  for (auto& [key, link] : links) {
    while (!link.rounds.empty() && now - link.rounds.front().first > s.report_every * 2.5)
      link.rounds.pop_front();
    for (const auto& [at, tally] : link.rounds)
      if (link.ladder.whole() || at > link.ladder.changed + lag) recent[key] += tally;
  }
  for (auto& [key, link] : links) {
    Tally elsewhere;
    for (const auto& [other, tally] : recent)
      if (other.second == key.second && other.first != key.first && links[other].ladder.whole())
        elsewhere += tally;
    const Tally own = recent[key];
    // Two fifths of twenty, while the others lose a fifth of that at most: chance does not do it.
    const bool failing = own.share() > 0.4 && own.share() > 5 * elsewhere.share() &&
                         (link.ladder.whole() ? own.tries >= 20 && elsewhere.tries >= 20 : own.errored >= 2);
    const bool well = own.tries >= 2 && own.share() < 0.2;
    link.ladder.advance(now, small_steps(),
                        failing ? Verdict::failed
                        : well  ? Verdict::well
                                : Verdict::unknown,
                        0.1);
  }
}

TableId Policy::State::table_of(ZoneId proxies_in) const {
  const TableId silo{static_cast<std::uint16_t>(1 + proxies_in.value)};
  return wanted.contains(silo) ? silo : kShared;
}

// Mean use of the backends' processors as they last told it; 0 where they do not tell.
double Policy::State::pressure() const {
  double sum = 0, n = 0;
  for (const auto& [id, b] : roster) {
    if (b.samples.empty() || !shared.lines.contains(id)) continue;
    double busy = 0, k = 0;
    for (auto it = b.samples.rbegin(); it != b.samples.rend() && k < 1; ++it)
      if (it->busy) busy += *it->busy, ++k;
    if (k > 0) sum += busy / k, ++n;
  }
  return n > 0 ? sum / n : 0;
}

// The share of errors that the fleet has in common: without the worst quarter of the backends, whose
// errors are their own. It is what tells an overload from broken backends.
double Policy::State::common_errors() const {
  std::vector<Tally> all;
  for (const auto& [id, b] : roster)
    if (b.ladder.share > 0) all.push_back(tally(b, 2, now - s.report_every * 3));
  std::sort(all.begin(), all.end(), [](const Tally& a, const Tally& b) { return a.share() < b.share(); });
  Tally sum;
  for (std::size_t k = 0; k < all.size() * 3 / 4; ++k) sum += all[k];
  return sum.share();
}

void Policy::State::follow_list() {
  if (!s.ask_for_list || following || (ask_at && now < *ask_at)) return;
  ask_at = now + s.ask_within * 0.5;  // unanswered for half the time allowed: ask again
  out.emplace_back(FollowList{});
}

// ---- What is wanted ------------------------------------------------------------------------------

void Policy::State::want() {
  wanted.clear();
  auto& lines = wanted[kShared].lines;
  const bool by_zone =
      std::any_of(s.operations.begin(), s.operations.end(), [](auto& op) { return op.own_zone_only; });
  std::map<ZoneId, double> warm;  // by zone only where an operation can't leave its own
  const auto silo_of = [&](const Backend& b) { return by_zone ? b.listed.zone : ZoneId{}; };
  for (const auto& [id, b] : roster) {
    if (!ready(b)) continue;
    const auto zone = zones.find(b.listed.zone);
    const double share = b.ladder.share * (zone == zones.end() ? 1 : zone->second.share);
    const double weight = listed_weight(b) * share * warmth(b);
    if (weight <= 0) continue;
    lines[id] = weight;
    if (warmth(b) >= 1) warm[silo_of(b)] += weight;
  }
  // Never take away the last warm lines: with none left the ladders no longer bind.
  for (const auto& [id, b] : roster)
    if (ready(b) && warm[silo_of(b)] <= 0) lines[id] = listed_weight(b) * std::max(0.01, warmth(b));
  // A rising line waits until it is worth a message; a falling one does not.
  for (auto& [id, weight] : lines) {
    const auto line = shared.lines.find(id);
    const bool small = line != shared.lines.end() && weight > line->second && weight < 1.2 * line->second;
    if (small && (warmth(roster[id]) < 1 || roster[id].ladder.share < 1)) weight = line->second;
  }
  if (wanted_levels.empty()) want_levels();
  // A zone's proxies leave the shared table while a link of theirs is not whole and the rest has warm lines.
  for (const auto& [key, link] : links) {
    if (link.ladder.whole()) continue;
    Table silo{lines, {}};
    double left = 0;
    for (auto& [id, weight] : silo.lines) {
      const auto way = links.find({key.first, roster[id].listed.zone});
      if (way != links.end()) weight *= way->second.ladder.share;
      if (warmth(roster[id]) >= 1) left += weight;
    }
    std::erase_if(silo.lines, [](const auto& line) { return line.second <= 0; });
    if (left > 0) wanted[TableId{static_cast<std::uint16_t>(1 + key.first.value)}] = std::move(silo);
  }
  for (auto& [id, table] : wanted) table.levels = wanted_levels;
}

// Levels. Further tries stay as the proxies have them, after proof only: a try that may be followed is
// given up early, and what it leaves running beside its repeat tips a busy fleet over (design.md has the
// figures). In an overload operations are let in by billed value for their cost,
// dearest first, up to what the fleet has shown it can carry.
void Policy::State::want_levels() {
  const std::size_t n = s.operations.size();
  const bool by_rate = s.level_kind == LevelKind::rate;
  wanted_levels.resize(n, Level{s.usual_tries, by_rate ? kNoLevel : 1});

  for (std::size_t k = 0; k < n; ++k) {
    auto& tries = wanted_levels[k].tries;
    tries = strain > 0.3 ? FurtherTries::none : s.usual_tries;  // in a general failure repeats feed it
    if (s.operations[k].effect != Effect::idempotent) tries = std::min(tries, FurtherTries::after_proof);
  }
  if (s.level_kind == LevelKind::off) return;

  // The settings tell no cost; the latency objective is their only hint of it.
  const auto cost = [&](std::size_t k) { return s.operations[k].latency_objective.seconds(); };
  std::vector<std::vector<double>> arriving(n);
  for (const auto& [key, rate] : demand) arriving[key.second.value].push_back(rate);
  std::vector<double> wishes(n, 0);
  double admitted = 0, admitted_cost = 0;  // a second, under the levels that the reports have seen
  for (std::size_t k = 0; k < n; ++k) {
    const double level = level_log.empty() ? kNoLevel : level_log.front()[k].level;
    for (const double rate : arriving[k]) {
      const double in = by_rate ? std::min(rate, level) : rate * std::min(1.0, level);
      wishes[k] += rate, admitted += in, admitted_cost += in * cost(k);
    }
  }
  if (admitted <= 0) return;
  // What the fleet can carry is what it carried for its use of processors, by the listed weight in use:
  // the median of the last rounds without a jam, since a jam hides it.
  double in_use = 0;
  for (const auto& [id, b] : roster) in_use += shared.lines.contains(id) ? listed_weight(b) * warmth(b) : 0;
  const double busy = pressure();
  // A jam keeps processors busy; errors in an idle fleet have another cause that levels do not cure.
  const bool jammed = busy > 0.7 && (strain > 0.1 || usual_lateness > 0.6 * objective);
  if (busy > 0.3 && in_use > 0 && (!jammed || carried.empty()))  // below, too idle to tell
    carried.push_back(succeeded_log.back() / s.report_every.seconds() * admitted_cost / admitted / busy /
                      in_use);
  if (carried.empty()) return;
  if (carried.size() > kRoundsKept) carried.pop_front();
  const double able = median({carried.begin(), carried.end()}) * in_use;
  // A trim for what that misses: dearer work, queues to clear, levels that let in less than they say.
  if (jammed)
    trim = std::max(0.5, trim * 0.75);
  else if (trim < 1 || (limiting && busy < 0.75))
    trim = std::min(1.3, trim * 1.15);
  double allowed = 0.85 * trim * able;  // beyond 0.85 of the processors the slower backends queue
  limiting = false;
  std::vector<std::size_t> order(n);
  for (std::size_t k = 0; k < n; ++k) order[k] = k;
  const auto density = [&](std::size_t k) { return s.operations[k].billed_value / cost(k); };
  std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) { return density(a) > density(b); });
  for (const std::size_t k : order) {
    const double wish = wishes[k] * cost(k);
    const double share = wish > 0 ? std::clamp(allowed / wish, 0.02, 1.0) : 1;
    allowed -= share * wish;
    limiting = limiting || share < 1;
    double level = share;
    if (by_rate) {  // the common rate at which the proxies together let in this share
      level = kNoLevel;
      auto& rates = arriving[k];
      std::sort(rates.begin(), rates.end());
      double left = share * wishes[k];
      for (std::size_t p = 0; share < 1 && p < rates.size(); ++p) {
        const double even = left / static_cast<double>(rates.size() - p);
        if (rates[p] >= even) {
          level = even;
          break;
        }
        left -= rates[p];
      }
    }
    wanted_levels[k].level = level;
  }
  if (!limiting) trim = std::min(trim, 1.0);
  level_log.push_back(wanted_levels);
  if (level_log.size() > 2) level_log.pop_front();
}

// ---- What is ordered -----------------------------------------------------------------------------

// Lines still in the channel, if it sends at half its stated pace, as on a slow day.
double Policy::State::queued() const {
  return std::max(0.0, queue - (now - queue_at).seconds() * s.push_rate * 0.5);
}

void Policy::State::emit() {
  std::map<TableId, double> users;
  for (const auto& [proxy, table] : bound) ++users[table];
  std::vector<Order> changes;
  double cost = 0;
  bool must = false;
  for (const auto& [table, want] : wanted) {
    const Table& have = present[table];
    const std::size_t before = changes.size();
    for (const auto& [id, weight] : have.lines) {
      if (want.lines.contains(id)) continue;
      changes.emplace_back(SetLine{table, id, 0});
      const auto b = roster.find(id);
      must = must || b == roster.end() || !ready(b->second) || warmth(b->second) < 1;
    }
    for (const auto& [id, weight] : want.lines) {
      const auto line = have.lines.find(id);
      if (line != have.lines.end() && std::abs(line->second - weight) < 1e-9) continue;
      changes.emplace_back(SetLine{table, id, weight});
      must = must || (warmth(roster[id]) < 1 && line != have.lines.end() && weight < line->second);
    }
    for (std::size_t k = 0; k < want.levels.size(); ++k) {
      const Level& w = want.levels[k];
      if (k < have.levels.size() && have.levels[k].tries == w.tries &&
          std::abs(have.levels[k].level - w.level) < 0.03 * w.level)
        continue;
      changes.emplace_back(SetLevel{table, OperationId{static_cast<std::uint8_t>(k)}, w.tries, w.level});
    }
    const auto lines_out = static_cast<double>(changes.size() - before);
    if (lines_out > 0) cost += users[table] * (s.per_message + lines_out);
  }
  while (!messages.empty() && now - messages.front() > s.messages_window) messages.pop_front();
  const bool room = queued() + cost <= std::min(0.5 * s.backlog, 0.2 * s.drain_grace.seconds() * s.push_rate);
  const bool paced = messages.empty() || now - messages.back() >= Span::seconds(0.5);
  const bool under = s.messages_most == 0 || static_cast<double>(messages.size()) < 0.6 * s.messages_most;
  if (!changes.empty() && (must || cost <= 0 || (room && paced && under))) {
    out.insert(out.end(), changes.begin(), changes.end());
    for (const auto& change : changes)
      if (const auto* line = std::get_if<SetLine>(&change); line != nullptr && line->table == kShared)
        if (const auto b = roster.find(line->backend); b != roster.end()) b->second.line_moved = now;
    for (const auto& [table, want] : wanted) present[table] = want;
    if (cost > 0) messages.push_back(now);
    queue = queued() + cost, queue_at = now;
  }
  // Bindings: all at once while the channel has room.
  for (const auto& [proxy, zone] : joined) {
    const TableId table = table_of(zone);
    const Table& have = present[table];
    const double whole = s.per_message + 1 + static_cast<double>(have.lines.size() + have.levels.size());
    const auto now_on = bound.find(proxy);
    if (have.lines.empty() || (now_on != bound.end() && now_on->second == table)) continue;
    if (queued() + whole > 0.8 * s.backlog) break;
    out.emplace_back(BindProxy{proxy, table});
    bound[proxy] = table;
    queue = queued() + whole, queue_at = now;
  }
}

std::vector<Order> Policy::State::handle(Instant at, const std::vector<Event>& events) {
  now = at;
  out.clear();
  for (const auto& event : events) std::visit([this](const auto& e) { note(e); }, event);
  close_round();
  follow_list();
  judge_backends();
  judge_zones();
  want();
  emit();
  if (!wake_at || now >= *wake_at) {
    wake_at = now + kTick;
    out.emplace_back(WakeMe{kTick, TimerTag{0}});
  }
  return std::move(out);
}

Policy::Policy(Settings settings, std::uint64_t seed)
    : state_{std::make_unique<State>(std::move(settings), seed)} {}
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;
Policy::~Policy() = default;

std::vector<Order> Policy::handle(Instant now, const std::vector<Event>& events) {
  return state_->handle(now, events);
}

}  // namespace gorsemount
