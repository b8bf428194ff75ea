// gorsemount's decisions, whole; the interface is policy.hpp. A host makes one Policy for each coordinator,
// hands all that came in at one time to handle(), and carries out the orders in the order returned. A pass
// takes events in (note, hear), judges, works out the wanted tables and levels (want), and orders the
// difference (emit, bind).
// The mechanism (docs/design.md): one table for all proxies, weight = listed weight x ladder share. A ladder
// steps a silo's share down on a sustained failure signal, and back up in trial steps: a zone's, a single
// backend's (the smallest silo), or that of the link between two zones.
#include "policy/policy.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <numeric>
#include <random>
#include <set>
#include <utility>

namespace gorsemount {

namespace {

constexpr double kNoLevel = 1e6;         // a rate that no proxy reaches: everything is let in
constexpr std::size_t kSamples = 8;      // longest look-back below (zones: 200 answers) in report lines
const Span kTick = Span::seconds(0.25);  // finer than any timer below, far above the host's resolution

// Evidence from some tries.
struct Tally {
  double tries = 0;
  double errored = 0;
  double waited = 0;  // for succeeded answers, s
  [[nodiscard]] double share() const { return tries > 0 ? errored / tries : 0; }
  [[nodiscard]] double latency() const { return tries > errored ? waited / (tries - errored) : 0; }
  friend Tally operator+(const Tally& a, const Tally& b) {
    return {a.tries + b.tries, a.errored + b.errored, a.waited + b.waited};
  }
  Tally& operator+=(const Tally& o) { return *this = *this + o; }
};

// What the report lines of one time say.
struct Sample {
  Instant heard;
  double interval = 0;  // the span of its lines, s: a round, and longer where lines wait their turn
  Tally tally;
  std::optional<double> utilization;  // part of its processors in use, as it tells
  [[nodiscard]] Instant began() const { return heard - Span::seconds(interval); }
};

double quantile(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  const auto place = values.begin() + static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size()));
  std::nth_element(values.begin(), place, values.end());
  return *place;
}

OperationId id_of(std::size_t place) { return OperationId{static_cast<std::uint8_t>(place)}; }

// The rate at which proxies that get `rates` a second together let in `left` a second.
double common_rate(std::vector<double> rates, double left) {
  std::sort(rates.begin(), rates.end());
  for (std::size_t p = 0; p < rates.size(); left -= rates[p++])
    if (const double even = left / static_cast<double>(rates.size() - p); rates[p] >= even) return even;
  return kNoLevel;
}

enum class Verdict { unknown, well, slow, failed };

struct Steps {
  double down, up;                  // parts of the full share taken, or given back, each step
  Span down_every, hold, up_every;  // hold: from the end of the drain to the trial
};
// A small silo (a backend, a link) falls in one step, and climbs in thirds.
const Steps kSmall{1.0, 1.0 / 3, Span{}, Span::seconds(4), Span::seconds(1)};
const Steps kZone{1.0 / 3, 0.1, Span::seconds(2), Span::seconds(10), Span::seconds(3)};

struct Ladder {
  double share = 1;
  bool reducing = false;  // a drain runs to its end
  Instant next;           // earliest next step
  Instant changed;        // when the share last moved
  Instant bad_since;      // zones: the signal must last
  int failed_trials = 0;  // trials that failed
  bool was_slow = false;  // it was slow: it climbs by small steps

  [[nodiscard]] bool whole() const { return share >= 1 && !reducing; }
  void move(double to, Instant now, Span wait) {
    share = std::clamp(to, 0.0, 1.0), changed = now, next = now + wait;
  }
  void advance(Instant now, const Steps& steps, Verdict verdict, double trial) {
    if (verdict == Verdict::failed && !reducing && share > 0) {
      if (share < 1) ++failed_trials;
      reducing = true, next = now;
    }
    if (now < next) return;
    if (reducing) {
      move(share - steps.down, now, steps.down_every);
      // A relapse doubles the hold, three times at most: flapping must not meet the step timers.
      if (share < 1e-9) move(0, now, steps.hold * (1 << std::min(failed_trials, 3))), reducing = false;
    } else if (share <= 0) {
      move(trial, now, steps.up_every);
    } else if (verdict == Verdict::slow) {
      // Slow is not broken: a quarter less, never out, and back by small steps.
      was_slow = true;
      move(std::max(0.1, share * 0.75), now, steps.up_every * 2);
    } else if (share < 1) {
      if (verdict == Verdict::well)
        move(share + (was_slow || failed_trials > 0 ? steps.up / 4 : steps.up), now, steps.up_every);
    } else if (now - changed > steps.hold * 4) {
      failed_trials = 0, was_slow = false;
    }
  }
};

// What has a ladder and samples of its own: a backend, or the way between two zones.
struct Silo {
  Ladder ladder;
  std::deque<Sample> samples;
  Instant answered;  // when a succeeded try was last heard of
  [[nodiscard]] Tally tally(std::size_t most, Instant since) const {  // of the last samples begun since
    Tally t;
    for (auto it = samples.rbegin(); it != samples.rend() && most > 0 && it->began() > since; ++it, --most)
      t += it->tally;
    return t;
  }
};

struct Backend : Silo {
  BackendListUpdate::Entry listed;
  std::size_t cut = 0;   // the cut of the shared table that holds its line
  double line = 0;       // its weight there
  Instant line_moved;    // when that last changed
  bool dropped = false;  // the list lost it, where that alone does not bind
};

struct Proxy {
  ZoneId zone;
  double rate = 0;  // invocations a second, as usual for it
  std::optional<std::size_t> cut;
  std::optional<TableId> bound;
};

struct Level {
  RetryPolicy tries = RetryPolicy::if_unprocessed;
  double level = 1;
};

// Tables under 1000 are the cuts of the shared one; above, those of a zone that a link cuts off.
TableId number_of(std::size_t cut, std::size_t silo = 0) {
  return TableId{static_cast<std::uint16_t>(1000 * silo + cut)};
}

struct Table {
  std::map<BackendId, double> lines;
  std::vector<Level> levels;
  std::deque<Instant> messages;  // to its proxies, within the settings' window
  Instant sent_at;               // the last of them
  double users = 0;
};

}  // namespace

struct Policy::State {
  State(Settings given, std::uint64_t seed) : s{std::move(given)}, chance{static_cast<std::uint32_t>(seed)} {
    cycle = s.report_every.seconds();
    arrived.resize(s.operations.size()), came.resize(s.operations.size());
    for (const auto& op : s.operations)
      objective += op.latency_objective.seconds() / static_cast<double>(s.operations.size());
  }

  void note(const TimerFired&) {}
  void note(const BackendReport& e) { ++told, round.push_back(e); }

  [[nodiscard]] bool ready(const Backend& b) const { return b.listed.availability == Availability::ready; }

  Settings s;
  std::mt19937 chance;
  Instant now;
  std::vector<Order> out;

  std::map<BackendId, Backend> roster;
  std::map<BackendId, Ladder> recalled;  // of those that are not listed yet
  std::map<ZoneId, Ladder> zones;
  std::map<std::pair<ZoneId, ZoneId>, Silo> links;           // from the proxies' zone to the backends'
  std::vector<BackendReport> round;                          // lines not yet taken in
  std::size_t told = 0;                                      // of both kinds
  std::map<std::pair<ProxyId, OperationId>, double> demand;  // invocations a second, as last told
  std::vector<double> arrived;                               // by operation, since the levels were last set
  std::vector<std::deque<double>> came;                      // what came of what was told; the last rounds
  double objective = 0;                                      // mean latency objective, s

  // Summed up anew whenever lines were heard.
  Instant latest, fresh;          // when that was; samples that began after `fresh` bear on the present
  double cycle = 0;               // how far apart a backend's lines come, s
  double all_errors = 0;          // the share of errors of all that are in
  double strain = 0;              // errors that all share
  double usual_lateness = 0;      // the median backend's, s
  double pressure = 0;            // mean use of the backends' processors; 0 where they do not tell
  Tally flow;                     // all that was heard since the levels were last worked out
  double tried = 0, carried = 0;  // a second: tries, and the succeeded of them
  std::vector<double> due;        // tries a second for a line's weight, by cut

  std::vector<Level> wanted_levels;
  std::optional<Instant> levels_at;
  std::deque<double> able_log;  // the last rounds: cost a second for full use, by listed weight
  double trim = 1;
  bool limiting = false;  // some level is below full

  std::map<TableId, Table> wanted, present;
  std::map<ProxyId, Proxy> joined;
  std::size_t cuts = 0;  // tables that the shared one is cut into; 0: not known yet
  bool following = false;
  std::optional<Instant> first_joined, ask_at, wake_at;
  double queue = 0;  // lines in the channel, reckoned at queue_at
  Instant queue_at;

  // ---- What is heard -------------------------------------------------------------------------------

  void note(const BackendListUpdate& e) {
    if (e.scope == ListScope::failed) {
      following = false;
      // Instances that failed together must not ask together again.
      ask_at = now + Span::seconds(std::uniform_real_distribution<>{0.2, 1.0}(chance));
      return;
    }
    if (e.scope != ListScope::cached) following = true;
    std::set<BackendId> lost;
    if (e.scope != ListScope::delta)
      for (const auto& [id, b] : roster) lost.insert(id);
    for (const auto& entry : e.entries) {
      if (entry.availability == Availability::gone) {
        lost.insert(entry.backend);
        continue;
      }
      lost.erase(entry.backend);
      const bool unknown = !roster.contains(entry.backend);
      const std::size_t cut = unknown ? neediest_cut(entry.zone) : 0;
      Backend& b = roster[entry.backend];
      if (unknown) b.cut = cut;
      if (auto rung = recalled.extract(entry.backend); unknown && rung) b.ladder = rung.mapped();
      // What was heard of the process before says nothing of this one.
      if (!unknown && entry.started && b.listed.started != entry.started) b.ladder = {}, b.samples.clear();
      b.listed = entry, b.dropped = false;
      if (entry.weight <= 0) b.listed.weight = 1;
    }
    // Where 'gone' alone does not bind, a backend that answers outweighs the list: it stays until it fails.
    for (const auto id : lost) {
      const auto row = roster.find(id);
      if (row == roster.end()) continue;
      Backend& b = row->second;
      b.dropped = true;
      if (s.removal_binds || !ready(b) || b.ladder.share <= 0 || warmth(b) < 1) roster.erase(row);
    }
  }

  // Where the zone has least weight, then where all have: a fleet that is replaced backend by backend keeps
  // its size, and dealt by that its newcomers would all gather in one cut while the others run dry.
  std::size_t neediest_cut(ZoneId zone) const {
    if (cuts < 2) return 0;
    std::vector<std::pair<double, double>> weights(cuts);
    for (const auto& [id, b] : roster) {
      if (!ready(b)) continue;
      if (b.listed.zone == zone) weights[b.cut].first += b.listed.weight;
      weights[b.cut].second += b.listed.weight;
    }
    return static_cast<std::size_t>(std::min_element(weights.begin(), weights.end()) - weights.begin());
  }

  void note(const ProxyJoined& e) {
    joined[e.proxy] = Proxy{e.zone, e.usual_rate, {}, {}};
    if (!first_joined) first_joined = now;
  }

  void note(const ProxyLeft& e) {
    joined.erase(e.proxy);
    for (std::size_t k = 0; k < s.operations.size(); ++k) demand.erase({e.proxy, id_of(k)});
  }

  void note(const DemandReport& e) {
    if (e.interval <= Span{} || e.operation.value >= s.operations.size() || !joined.contains(e.proxy)) return;
    ++told, demand[{e.proxy, e.operation}] = e.arrived / e.interval.seconds();
    arrived[e.operation.value] += e.arrived;
  }

  void record(Silo& silo, const BackendReport& r, double interval) {
    if (silo.samples.empty() || now - silo.samples.back().heard > s.report_every * 0.5)
      silo.samples.emplace_back();
    if (silo.samples.size() > kSamples) silo.samples.pop_front();
    Sample& sample = silo.samples.back();
    sample.heard = now, sample.interval = interval;
    const double tries = r.tries, errored = r.errored;
    sample.tally += Tally{tries, errored, (tries - errored) * r.mean_latency.seconds()};
    if (r.utilization) sample.utilization = r.utilization;
    if (tries > errored) silo.answered = now;
  }

  // Turns report lines into samples. Where the host hands on fewer lines than there are, those of one round
  // come over several, and each counts over its own span.
  void hear() {
    if (round.empty()) return;
    // Lines that wait their turn span the wait; else a longer span is a quiet time before the last round.
    const bool waiting = static_cast<double>(told) > 0.9 * s.max_report_rate * s.report_every.seconds();
    std::vector<double> spans;
    std::erase_if(round, [this](const auto& r) { return !roster.contains(r.backend); });
    for (const auto& r : round)
      spans.push_back(r.interval.seconds()), flow.tries += r.tries, flow.errored += r.errored;
    const double interval =
        std::max(quantile(std::move(spans), waiting ? 0.5 : 0.1), 0.5 * s.report_every.seconds());
    for (const auto& r : round)
      if (const Backend& b = roster[r.backend]; b.ladder.share > 0)
        record(links[{r.proxy_zone, b.listed.zone}], r, interval);
    cycle = std::max(s.report_every.seconds(), interval);
    judge_links();
    for (const auto& r : round) {
      Backend& b = roster[r.backend];
      // What is lost on a link that is cut says nothing of the backend behind it.
      if (links[{r.proxy_zone, b.listed.zone}].ladder.whole()) record(b, r, interval);
    }
    round.clear(), told = 0;
    sum_up();
    const double since = levels_at ? (now - *levels_at).seconds() : interval;
    if (levels_at && since < s.report_every.seconds() * 0.9) return;
    tried = flow.tries / since, carried = (flow.tries - flow.errored) / since, flow = {};
    weigh_demand(since);
    levels_at = now, want_levels();
  }

  // Where few invocations come to a proxy, a line comes only now and then, and what was last told adds up to
  // more than comes: each is a rate at a time when something came. What all lines count is the sum; the
  // median of some rounds, since some lines come late.
  void weigh_demand(double since) {
    std::vector<double> sums(came.size(), 1e-9);
    for (const auto& [key, rate] : demand) sums[key.second.value] += rate;
    for (std::size_t k = 0; k < came.size(); ++k) {
      came[k].push_back(std::exchange(arrived[k], 0) / since / sums[k]);
      if (came[k].size() > kSamples) came[k].pop_front();
    }
  }

  void sum_up() {
    latest = now, fresh = now - Span::seconds(cycle) - s.report_every * 2.5;
    std::vector<double> late;
    std::vector<Tally> all;
    double busy = 0, tell = 0;
    std::vector<double> weights(std::max<std::size_t>(cuts, 1), 1e-9);
    due.assign(weights.size(), 0);
    for (const auto& [id, b] : roster) {
      weights[b.cut] += b.line;
      if (b.samples.empty() || b.samples.back().began() <= fresh) continue;
      const Sample& last = b.samples.back();
      if (now - last.heard < Span::seconds(0.95 * cycle)) due[b.cut] += last.tally.tries / last.interval;
      if (const double own = lateness(b.tally(4, fresh - s.report_every * 2)); own > 0) late.push_back(own);
      if (b.ladder.share <= 0) continue;
      if (last.utilization) busy += *last.utilization, ++tell;
      all.push_back(b.tally(2, fresh));
    }
    for (std::size_t k = 0; k < due.size(); ++k) due[k] /= weights[k];
    usual_lateness = quantile(std::move(late), 0.5);
    pressure = tell > 0 ? busy / tell : 0;
    // The errors that the fleet has in common: without the worst quarter of the backends, whose errors are
    // their own. It is what tells an overload from broken backends.
    std::sort(all.begin(), all.end(), [](const Tally& a, const Tally& b) { return a.share() < b.share(); });
    all_errors = std::accumulate(all.begin(), all.end(), Tally{}, std::plus<>{}).share();
    all.resize(all.size() * 3 / 4);
    strain = std::accumulate(all.begin(), all.end(), Tally{}, std::plus<>{}).share();
  }

  // ---- What it means -------------------------------------------------------------------------------

  // The part of full weight that a starting backend may have: by what the settings guarantee of its capacity,
  // squared, since a short burst or a slow machine must not tip it. As a fleet tips over, proxies leave the
  // lines that fail them and press on the rest, whatever its weight: so in a hot fleet a newcomer stays out
  // until even a full line's part of all that is sent can't tip it.
  double warmth(const Backend& b) const {
    if (!b.listed.started || now - *b.listed.started >= s.cold_for) return 1;
    const double age = (now - *b.listed.started).seconds() / s.cold_for.seconds();
    const double sure = std::clamp(s.cold_from + (1 - s.cold_from) * age, s.cold_from, 1.0);
    const bool hot = strain > 0.2 || usual_lateness > 0.5 * objective || pressure > 0.75;
    // A fleet can tip within the 3 s that reports take: its line must bear 2.4 times its part in any case.
    // Before its first round a coordinator can't tell.
    if (!levels_at || s.tip_multiple * sure < std::max(2.4, hot ? 1.2 * tried / std::max(1.0, carried) : 0))
      return 0;
    return sure * sure * (1 - strain);
  }

  // Mean time to an answer; an error counts as two objectives. 0: too few to tell.
  double lateness(const Tally& t) const {
    return t.tries >= 6 ? (t.waited + t.errored * 2 * objective) / t.tries : 0;
  }

  // A backend's signal: many errors beside its peers or answers that are missing (failed), or answers that
  // come too late to count while its peers' do not (slow).
  Verdict judge(const Backend& b) const {
    // Evidence on a step counts once its effect can have been heard.
    const Instant since = b.ladder.whole() ? Instant{} : b.ladder.changed + Span::seconds(1);
    const Tally own = b.tally(2, since);
    const double late = lateness(b.tally(4, std::max(since, fresh - s.report_every * 2)));
    const double part = usual_lateness < 0.3 * objective ? 0.6 : 0.5;  // calm: weights stay as listed
    const bool slow = late > std::max(part * objective, 1.3 * usual_lateness);
    // Missing: no answer, since its line last moved, where 7 were due (by chance once in a thousand rounds),
    // for over a line's usual wait. Where all lines are late the time to the latest stands still.
    const double silent = (latest - std::max(b.line_moved + Span::seconds(1.5), b.answered)).seconds();
    const bool missing = silent > 1.6 * cycle && silent * due[b.cut] * b.line >= 7;
    // Errors: a third of four answers or more, and three times the fleet's share, unless the list has lost it
    // too. In an overload all fail alike, and none is condemned.
    const bool errors =
        own.tries >= 4 && own.errored >= 3 && own.share() > std::max(0.3, b.dropped ? 0 : 3 * all_errors);
    if (missing || errors) {
      // Late answers shortly before mean a jam, which less work clears; prompt ones mean a break.
      double answered = 0;
      for (std::size_t k = b.samples.size(), n = 0; k-- > 0 && n < 4; ++n)
        answered = std::max(answered, b.samples[k].tally.latency());
      return answered > 0.6 * objective ? Verdict::slow : Verdict::failed;
    }
    if (slow) return Verdict::slow;
    const bool well =
        own.tries >= 2 && own.share() < 0.2 && late < std::max(1.1 * usual_lateness, 0.35 * objective);
    return well ? Verdict::well : Verdict::unknown;
  }

  void judge_backends() {
    if (cuts == 0) return;
    double total = 0, out_weight = 0;
    for (const auto& [id, b] : roster)
      if (ready(b)) total += b.listed.weight, out_weight += b.listed.weight * (1 - b.ladder.share);
    for (auto it = roster.begin(); it != roster.end();) {
      Backend& b = it->second;
      const double before = b.ladder.share;
      Verdict verdict = judge(b);
      // Panic bound: a view that condemns more than two fifths of the weight is likelier wrong than right,
      // but for those that the list has lost too.
      if (verdict >= Verdict::slow && out_weight + b.listed.weight * before > 0.4 * total && !b.dropped)
        verdict = Verdict::unknown;
      // Tried with a hundredth of the traffic, and in a large fleet with half of its own part.
      b.ladder.advance(now, kSmall, verdict, std::min(0.5, 0.01 * total / b.listed.weight));
      if (ready(b)) out_weight += b.listed.weight * (before - b.ladder.share);
      it = b.dropped && b.ladder.share <= 0 ? roster.erase(it) : std::next(it);
    }
  }

  void judge_zones() {
    std::map<ZoneId, std::pair<Tally, double>> heard;  // and the listed weight
    double total = 0;
    for (const auto& [id, b] : roster) {
      if (!ready(b)) continue;
      auto& [tally, weight] = heard[b.listed.zone];
      weight += b.listed.weight, total += b.listed.weight;
      // A backend that is out on its own ladder is answered already.
      if (b.ladder.whole()) tally += b.tally(kSamples, zones[b.listed.zone].changed);
    }
    for (auto& [zone, ladder] : zones) {
      const auto& [own, weight] = heard[zone];
      // Two must be left, and have room for what the zone gives up.
      bool bad = own.tries >= 200 && own.share() > 0.05 && heard.size() > 2 &&
                 pressure * total < 0.95 * (total - weight);
      for (const auto& [other, its] : heard)
        if (other != zone) bad = bad && own.share() > 2 * its.first.share() && zones[other].whole();
      if (!bad) ladder.bad_since = now;
      Verdict verdict = own.share() <= 0.05 ? Verdict::well : Verdict::unknown;
      if (bad && now - ladder.bad_since >= Span::seconds(3)) verdict = Verdict::failed;
      ladder.advance(now, kZone, verdict, weight > 0 ? std::min(1.0, 0.01 * total / weight) : 1);
    }
  }

  // A link is cut or slow when the tries on it fail or take long and another zone's proxies reach the same
  // backends well. The post's own story: no backend is to blame, and the proxies keep to what they reach.
  void judge_links() {
    std::map<std::pair<ZoneId, ZoneId>, Tally> recent;
    const Instant window = now - Span::seconds(3.5 * cycle);
    for (auto& [key, link] : links)
      recent[key] = link.tally(3, std::max(window, link.ladder.changed + Span::seconds(1)));
    for (auto& [key, link] : links) {
      // Beside the best of the other ways there, since where a zone is cut off most of them fail; and, where
      // it is slow, beside the best way of the same proxies, which may be slow themselves.
      Tally best;
      double prompt = 1e9;
      for (const auto& [other, tally] : recent) {
        if (tally.tries < 20 || (other.first == key.first) == (other.second == key.second)) continue;
        if (other.first == key.first)
          prompt = std::min(prompt, tally.latency());
        else if (best.tries <= 0 || tally.share() < best.share())
          best = tally;
      }
      const Tally own = recent[key];
      // Two fifths of 40, while the others lose a fifth of that at most: chance does not do it. A trial must
      // do about as well as the other ways, though a jam may slow them all.
      const bool whole = link.ladder.whole();
      const double usual = std::max(best.latency(), prompt);
      const bool lost = own.share() > (whole ? 0.4 : 0.25) && own.share() > (whole ? 5 : 1.5) * best.share();
      const bool slow = own.latency() > (whole ? 1.5 : 1.0) * usual + (whole ? 0.4 : 0.3) * objective;
      Verdict verdict = own.tries >= 4 && !lost && !slow ? Verdict::well : Verdict::unknown;
      if ((lost || slow) && best.tries > 0 && own.tries >= (whole ? 40 : 2)) verdict = Verdict::failed;
      link.ladder.advance(now, kSmall, verdict, 0.1);
    }
  }

  // ---- What is wanted ------------------------------------------------------------------------------

  // One table for all where the channel can send it and its lines stay in use. Where not, the table is cut
  // into a few, each with its part of every zone and kind, so that weights and ladders act in each as in the
  // one: a line used under eight times in the keep-alive span keeps idle connections or opens new ones, and a
  // table that takes over 3 s to send is late for every drain.
  void cut_table() {
    if (joined.empty()) return;
    const auto size = static_cast<double>(joined.size());
    const double usual = std::max(1.0, s.proxies / s.coordinators);
    if (cuts == 0 && size < 0.5 * usual && now - *first_joined < Span::seconds(0.5))
      return;  // too few to tell
    double rate = 0, n = 0;
    for (const auto& [id, p] : joined) rate += p.rate;
    for (const auto& [id, b] : roster) n += ready(b) ? 1 : 0;
    const double in_use = rate / size * s.keepalive.seconds() / 8;
    const double in_time = 3 * s.push_rate / std::max(usual, size) - s.per_message;
    // Under 12 lines the loss of a cell or a kind weighs too unevenly; under 5 proxies tables are too many.
    const double lines = rate > 0 ? std::max(12.0, std::min(in_use, in_time)) : n;
    const auto fit = static_cast<std::size_t>(std::max(1.0, std::min(n / lines, std::max(usual, size) / 5)));
    if (cuts != 0 && fit <= 2 * cuts && 2 * fit >= cuts) return;  // cutting anew costs every table
    cuts = fit;
    std::vector<Backend*> dealt;
    for (auto& [id, b] : roster) dealt.push_back(&b);
    // Coordinators cut differently, so that what is uneven in one evens out.
    std::shuffle(dealt.begin(), dealt.end(), chance);
    std::stable_sort(dealt.begin(), dealt.end(), [](auto* a, auto* b) {
      return std::pair{a->listed.zone, a->listed.weight} < std::pair{b->listed.zone, b->listed.weight};
    });
    for (std::size_t k = 0; k < dealt.size(); ++k) dealt[k]->cut = k % cuts;
    for (auto& [id, p] : joined) p.cut.reset();
    due.assign(cuts, 0);
  }

  void want() {
    wanted.clear();
    if (cuts == 0) return;
    std::vector<double> warm(cuts, 0);
    for (const auto& [id, b] : roster) {
      const double share = b.ladder.share * zones[b.listed.zone].share;
      const double warmed = ready(b) ? warmth(b) : 0;
      auto& lines = wanted[number_of(b.cut)].lines;
      if (share * warmed > 0) lines[id] = b.listed.weight * share * warmed;
      if (warmed >= 1) warm[b.cut] += b.listed.weight * share;
    }
    // Never take away the last warm lines. A cut without any gets those of the one that has most; with none
    // left anywhere the ladders no longer bind.
    const auto most = std::max_element(warm.begin(), warm.end());
    if (*most <= 0)
      for (const auto& [id, b] : roster)
        if (ready(b)) wanted[number_of(b.cut)].lines[id] = b.listed.weight * std::max(0.01, warmth(b));
    auto fullest = wanted[number_of(static_cast<std::size_t>(most - warm.begin()))].lines;
    for (std::size_t k = 0; k < cuts; ++k)
      if (warm[k] <= 0) wanted[number_of(k)].lines.insert(fullest.begin(), fullest.end());
    // A rising line waits until it is worth a message; a falling one does not.
    for (auto& [table, want] : wanted)
      for (auto& [id, weight] : want.lines) {
        const auto line = present[table].lines.find(id);
        const double was = line == present[table].lines.end() ? 0 : line->second;
        const bool climbs = warmth(roster[id]) < 1 || roster[id].ladder.share < 1;
        if (climbs && weight > was && weight < 1.2 * was) weight = was;
      }
    if (wanted_levels.empty()) want_levels();
    // A zone's proxies leave the shared table while a link of theirs is not whole, if warm lines are left.
    for (const auto& [key, link] : links) {
      if (link.ladder.whole()) continue;
      for (std::size_t k = 0; k < cuts; ++k) {
        Table silo{wanted[number_of(k)].lines, {}, {}, {}, 0};
        double left = 0;
        for (auto& [id, weight] : silo.lines) {
          weight *= links[{key.first, roster[id].listed.zone}].ladder.share;
          if (warmth(roster[id]) >= 1) left += weight;
        }
        std::erase_if(silo.lines, [](const auto& line) { return line.second <= 0; });
        if (left > 0) wanted[number_of(k, 1 + key.first.value)] = std::move(silo);
      }
    }
    for (auto& [id, table] : wanted) table.levels = wanted_levels;
  }

  // Levels. Further tries stay as the proxies have them, after proof only: a try that may be followed is
  // given up early, and what it leaves running beside its repeat tips a busy fleet over. In an overload
  // operations are let in by billed value for their cost, up to what the fleet has shown it can carry.
  void want_levels() {
    const bool by_rate = s.admission_mode == AdmissionMode::rate;
    wanted_levels.resize(s.operations.size(), Level{s.default_retries, by_rate ? kNoLevel : 1});
    struct Wish {
      OperationId operation;
      double cost, value;         // the settings tell no cost; the latency objective is their only hint of it
      std::vector<double> rates;  // as last told
      double part = 1;            // of their sum that comes
      double told = 0, total = 0;
    };
    std::vector<Wish> wishes;
    for (std::size_t k = 0; k < s.operations.size(); ++k) {
      const Operation& op = s.operations[k];
      wishes.push_back({id_of(k), op.latency_objective.seconds(), op.billed_value, {}});
      const auto most = op.effect == Effect::idempotent ? RetryPolicy::two : RetryPolicy::if_unprocessed;
      // In a general failure repeats feed it.
      wanted_levels[k].tries = strain > 0.3 ? RetryPolicy::none : std::min(s.default_retries, most);
    }
    if (s.admission_mode == AdmissionMode::off) return;

    double admitted = 0, admitted_cost = 0;  // a second, under the levels as they stand
    double usual = 1e-3;                     // this coordinator's part of the traffic
    for (const auto& [id, p] : joined) usual += p.rate;
    for (std::size_t k = 0; k < wishes.size(); ++k)
      if (!came[k].empty()) wishes[k].part = std::min(1.0, quantile({came[k].begin(), came[k].end()}, 0.5));
    for (const auto& [key, rate] : demand) {
      Wish& wish = wishes[key.second.value];
      const double level = wanted_levels[key.second.value].level;
      const double in = wish.part * (by_rate ? std::min(rate, level) : rate * std::min(1.0, level));
      wish.rates.push_back(rate), wish.told += rate, wish.total += wish.part * rate;
      admitted += in, admitted_cost += in * wish.cost;
    }
    if (admitted <= 0) return;
    // What the fleet can carry is what it carried for its use of processors, by the listed weight in use and
    // this coordinator's part, which grows as proxies come back after a restart: the median of the last
    // rounds without a jam, since a jam hides it. A jam keeps processors busy; errors in an idle fleet have
    // another cause that levels do not cure.
    double in_use = 0;
    for (const auto& [id, b] : roster) in_use += b.ladder.share > 0 ? b.listed.weight * warmth(b) : 0;
    const bool jammed = pressure > 0.7 && (strain > 0.1 || usual_lateness > 0.6 * objective);
    if (pressure > 0.3 && in_use > 0 && (!jammed || able_log.empty()))  // below, too idle to tell
      able_log.push_back(carried * admitted_cost / admitted / pressure / in_use / usual);
    if (able_log.empty()) return;
    if (able_log.size() > kSamples) able_log.pop_front();
    // A trim for what that misses: dearer work, queues to clear, levels that let in less than they say.
    if (jammed)
      trim = std::max(0.5, trim * 0.75);
    else if (trim < 1 || (limiting && pressure < 0.75))
      trim = std::min(1.3, trim * 1.15);
    // Beyond 0.78 of the processors the slower backends queue (0.85 and 0.72 did worse on most of 18 draws).
    double allowed = 0.78 * trim * in_use * usual * quantile({able_log.begin(), able_log.end()}, 0.5);
    limiting = false;
    std::stable_sort(wishes.begin(), wishes.end(),
                     [](const Wish& a, const Wish& b) { return a.value / a.cost > b.value / b.cost; });
    for (const Wish& w : wishes) {
      const double share = w.total > 0 ? std::clamp(allowed / (w.total * w.cost), 0.02, 1.0) : 1;
      allowed -= share * w.total * w.cost;
      limiting = limiting || share < 1;
      wanted_levels[w.operation.value].level = !by_rate    ? share
                                               : share < 1 ? common_rate(w.rates, share * w.told)
                                                           : kNoLevel;
    }
    if (!limiting) trim = std::min(trim, 1.0);
  }

  // ---- What is ordered -----------------------------------------------------------------------------

  // Lines still in the channel, if it sends at half its stated pace, as on a slow day.
  double queued() const { return std::max(0.0, queue - (now - queue_at).seconds() * s.push_rate * 0.5); }

  // What may wait before orders that can be put off: a cut that a rule forces must arrive within the grace.
  double allowance() const { return std::min(0.5 * s.backlog, 0.2 * s.drain_grace.seconds() * s.push_rate); }

  // Sends a table's difference, or of it only what a rule forces where the channel has no room for more.
  void send(TableId number, const Table& want, bool forced) {
    Table& have = present[number];
    std::vector<Order> orders, rest;
    auto lines = want.lines;
    for (const auto& [id, weight] : have.lines) lines.try_emplace(id, 0);
    for (const auto& [id, weight] : lines) {
      const auto line = have.lines.find(id);
      const double was = line == have.lines.end() ? 0 : line->second;
      const auto b = roster.find(id);
      const bool must = weight < was && (b == roster.end() || !ready(b->second) || warmth(b->second) < 1);
      if (std::abs(was - weight) > 1e-9) (must ? orders : rest).emplace_back(SetWeight{number, id, weight});
    }
    have.levels.resize(want.levels.size(), Level{RetryPolicy::none, -1});
    for (std::size_t k = 0; k < want.levels.size(); ++k)
      if (const Level& w = want.levels[k], &h = have.levels[k];
          h.tries != w.tries || std::abs(h.level - w.level) >= 0.03 * w.level)
        rest.emplace_back(SetAdmission{number, id_of(k), w.tries, w.level});
    if (forced == orders.empty()) return;

    auto& sent = have.messages;
    while (!sent.empty() && now - sent.front() > s.messages_window) sent.pop_front();
    const auto cost = [&](std::size_t n) { return have.users * (s.per_message + static_cast<double>(n)); };
    const bool paced = now - have.sent_at >= Span::seconds(0.5);
    const bool under = s.messages_most == 0 || static_cast<double>(sent.size()) < 0.6 * s.messages_most;
    const bool room =
        queued() + cost(orders.size() + rest.size()) <= (forced ? 0.8 * s.backlog : allowance());
    if (have.users <= 0 || (room && (forced || (paced && under))))
      orders.insert(orders.end(), rest.begin(), rest.end());
    if (orders.empty() || (have.users > 0 && queued() + cost(orders.size()) > 0.9 * s.backlog)) return;
    if (have.users > 0) sent.push_back(now), have.sent_at = now;
    queue = queued() + cost(orders.size()), queue_at = now;
    for (const auto& order : orders) {
      out.push_back(order);
      if (const auto* level = std::get_if<SetAdmission>(&order))
        have.levels[level->operation.value] = {level->retries, level->limit};
      const auto* line = std::get_if<SetWeight>(&order);
      if (line == nullptr) continue;
      have.lines[line->backend] = line->weight;
      if (line->weight <= 0) have.lines.erase(line->backend);
      const auto b = roster.find(line->backend);
      if (b != roster.end() && number == number_of(b->second.cut))
        b->second.line_moved = now, b->second.line = line->weight;
    }
  }

  // Forced cuts first, then the tables that have waited longest.
  void emit() {
    for (auto& [number, table] : present) table.users = 0;
    for (const auto& [id, p] : joined)
      if (p.bound) ++present[*p.bound].users;
    std::vector<std::pair<Instant, TableId>> waiting;
    for (const auto& [number, want] : wanted) {
      send(number, want, true);
      waiting.emplace_back(present[number].sent_at, number);
    }
    std::sort(waiting.begin(), waiting.end());
    for (const auto& [last, number] : waiting) send(number, wanted[number], false);
  }

  // Deals the proxies to the cuts by what they bring for what the cut's lines can take, the heaviest first,
  // and binds all at once while the channel has room.
  void bind() {
    if (cuts == 0) return;
    std::vector<double> load(cuts, 0), room(cuts, 1e-9);
    for (std::size_t k = 0; k < cuts; ++k)
      for (const auto& [id, weight] : wanted[number_of(k)].lines) room[k] += weight;
    std::vector<Proxy*> open;
    for (auto& [id, p] : joined) p.cut ? void(load[*p.cut] += p.rate) : open.push_back(&p);
    std::stable_sort(open.begin(), open.end(), [](auto* a, auto* b) { return a->rate > b->rate; });
    for (auto* p : open) {
      std::size_t best = 0;
      for (std::size_t k = 1; k < cuts; ++k)
        if ((load[k] + p->rate) / room[k] < (load[best] + p->rate) / room[best]) best = k;
      p->cut = best, load[best] += p->rate;
    }
    for (auto& [id, p] : joined) {
      const TableId silo = number_of(*p.cut, 1 + p.zone.value);
      const TableId table = wanted.contains(silo) ? silo : number_of(*p.cut);
      const Table& have = present[table];
      if (have.lines.empty() || p.bound == table) continue;
      const double whole = s.per_message + 1 + static_cast<double>(have.lines.size() + have.levels.size());
      if (queued() + whole > 0.8 * s.backlog) break;
      out.emplace_back(BindProxy{id, table});
      p.bound = table;
      queue = queued() + whole, queue_at = now;
    }
  }

  std::vector<Order> handle(Instant at, const std::vector<Event>& events) {
    now = at;
    out.clear();
    for (const auto& event : events) std::visit([this](const auto& e) { note(e); }, event);
    hear();
    if (s.explicit_subscription && !following && (!ask_at || now >= *ask_at)) {
      ask_at = now + s.subscribe_timeout * 0.5;  // unanswered for half the time allowed: ask again
      out.emplace_back(SubscribeToList{});
    }
    cut_table();
    judge_backends();
    judge_zones();
    want();
    emit();
    bind();
    if (!wake_at || now >= *wake_at) {
      wake_at = now + kTick;
      out.emplace_back(SetTimer{kTick, TimerTag{0}});
    }
    return std::move(out);
  }
};

PolicySnapshot Policy::snapshot(Instant now) const {
  PolicySnapshot memory;
  const auto rung = [now](const Ladder& l) {
    return PolicySnapshot::ShareState{l.share,      l.reducing,      l.was_slow,
                                      l.next - now, now - l.changed, l.failed_trials};
  };
  const auto worth = [](const Ladder& l) { return !l.whole() || l.failed_trials > 0; };
  for (const auto& [zone, ladder] : state_->zones)
    if (worth(ladder)) memory.zones[zone] = rung(ladder);
  for (const auto& [id, b] : state_->roster)
    if (worth(b.ladder)) memory.backends[id] = rung(b.ladder);
  for (const auto& [key, link] : state_->links)
    if (worth(link.ladder)) memory.links[key] = rung(link.ladder);
  memory.capacity_samples = {state_->able_log.begin(), state_->able_log.end()};
  return memory;
}

void Policy::restore(Instant now, const PolicySnapshot& memory) {
  // Guards against pouring work back onto what another instance saw fail.
  const auto take = [now](Ladder& mine, const PolicySnapshot::ShareState& r) {
    const int failed_trials = std::max(mine.failed_trials, r.failed_trials);
    if (r.share < mine.share || (r.reducing && mine.whole()))
      mine = {r.share, r.reducing, now + r.next_step_in, now - r.since_change, now, 0, r.was_slow};
    mine.failed_trials = failed_trials;
  };
  for (const auto& [zone, rung] : memory.zones) take(state_->zones[zone], rung);
  for (const auto& [key, rung] : memory.links) take(state_->links[key].ladder, rung);
  for (const auto& [id, rung] : memory.backends) {
    const auto listed = state_->roster.find(id);
    take(listed == state_->roster.end() ? state_->recalled[id] : listed->second.ladder, rung);
  }
  if (state_->able_log.empty())
    for (const double able : memory.capacity_samples) state_->able_log.push_back(able);
  while (state_->able_log.size() > kSamples) state_->able_log.pop_front();
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
