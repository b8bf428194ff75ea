#include "standins/auditor.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <set>

namespace gorsemount::standins {

namespace {

double seconds(std::int64_t micros) { return static_cast<double>(micros) / 1e6; }

// Since when each worker runs, by the records so far: for the question whether a warm one was listed.
class Roster {
 public:
  void take(const Record& r) {
    const std::string worker = r.text("worker");
    if (r.what == "start") up_[worker] = {r.t, r.fields.value("cold", false)};
    if (r.what == "down") up_.erase(worker);
    if (r.what == "told_draining") draining_.insert(worker);
    if (r.what == "told_ready") draining_.erase(worker);
  }
  [[nodiscard]] bool warm(std::int64_t t, Span cold_for) const {
    return std::any_of(up_.begin(), up_.end(), [&](const auto& row) {
      return !draining_.contains(row.first) &&
             (!row.second.second || t - row.second.first >= cold_for.micros());
    });
  }

 private:
  std::map<std::string, std::pair<std::int64_t, bool>> up_;
  std::set<std::string> draining_;
};

// Rule 1: the longest time that a group's clients asked and none was answered with a line, while a warm
// worker was listed. Being rate-limited is an answer.
Verdict without_answer(const Day& day, const std::vector<Record>& records) {
  Verdict v{"1 nobody left without a worker", true, 0, day.unserved.seconds(), "s", ""};
  std::map<std::string, std::int64_t> bare_since;
  Roster roster;
  for (const auto& r : records) {
    roster.take(r);
    if (r.what != "lookup") continue;
    const std::string group = r.text("zone") + " " + r.text("operation");
    const bool served = r.number("lines") > 0 || r.fields.value("limited", false);
    const auto began = r.t - static_cast<std::int64_t>(r.number("took") * 1e6);
    const auto it = bare_since.find(group);
    if (!served && roster.warm(r.t, day.cold_for)) {
      const auto since = it == bare_since.end() ? began : it->second;
      bare_since.try_emplace(group, began);
      const double bare = seconds(r.t - since);
      if (bare > v.worst) v.worst = bare, v.detail = group;
    } else {
      bare_since.erase(group);
    }
  }
  v.kept = v.worst <= v.limit;
  return v;
}

// And of a forwarder: the longest time that it had none to pick for an operation.
Verdict bare_forwarders(const Day& day, const std::vector<Record>& records) {
  Verdict v{"1 no forwarder without a worker", true, 0, day.unserved.seconds(), "s", ""};
  std::map<std::string, std::int64_t> since;
  Roster roster;
  for (const auto& r : records) {
    roster.take(r);
    if (r.what != "bare" && (r.what != "sent" || !r.fields.contains("forwarder"))) continue;
    const std::string who = r.text("forwarder") + " " + r.text("operation");
    if (r.what == "sent" || !roster.warm(r.t, day.cold_for)) {
      since.erase(who);
      continue;
    }
    const double bare = seconds(r.t - since.try_emplace(who, r.t).first->second);
    if (bare >= v.worst) v.worst = bare, v.detail = who;
  }
  v.kept = v.worst <= v.limit;
  return v;
}

// In a shared fleet: no order of a term below one that the forwarder obeyed before, in one life of it.
Verdict terms(const std::vector<Record>& records) {
  Verdict v{"terms only grow at a forwarder", true, 0, 0, "orders of a lower term", ""};
  std::map<std::string, std::uint64_t> highest;
  for (const auto& r : records) {
    if (r.what == "forwarder_start") highest.erase(r.text("forwarder"));
    if (r.what != "obeyed") continue;
    auto& seen = highest[r.text("forwarder")];
    const auto term = r.fields.value("term", std::uint64_t{0});
    if (term < seen) ++v.worst, v.detail = r.text("forwarder");
    seen = std::max(seen, term);
  }
  v.kept = v.worst <= v.limit;
  return v;
}

Verdict twice(const Day& day, const std::vector<Record>& records) {
  Verdict v{"2 no effect twice", true, 0, 1, "effects", ""};
  std::set<std::string> side_effecting;
  for (const auto& op : day.operations)
    if (op.effect == "side-effecting") side_effecting.insert(op.name);
  std::map<std::string, int> began;
  for (const auto& r : records)
    if (r.what == "began" && side_effecting.contains(r.text("operation")))
      if (const int n = ++began[r.text("id")]; n > v.worst) v.worst = n, v.detail = r.text("id");
  v.kept = v.worst <= v.limit;
  return v;
}

// Rule 3: what clients that obey sent to a worker after the roster said that it drains. Of those that do not
// obey, nothing may have begun past the grace: what they sent is for the worker to refuse.
void drains(const Day& day, const std::vector<Record>& records, std::uint64_t& refused,
            std::vector<Verdict>& out) {
  Verdict sent{"3 drains kept, sending", true, 0, day.drain_grace.seconds(), "s after it was told", ""};
  Verdict begun{"3 drains kept, work taken on", true, 0, day.drain_grace.seconds(),
                "s after it was told",          ""};
  std::map<std::string, std::int64_t> told;
  std::map<std::string, bool> obeys;  // by invocation
  std::map<std::string, std::string> via;
  std::map<std::string, std::int64_t> joined;  // since when each forwarder has a stream
  for (const auto& r : records) {
    if (r.what == "joined") joined[r.text("forwarder")] = r.t;
    if (r.what == "left") joined.erase(r.text("forwarder"));
    if (r.what == "sent") via[r.text("id")] = r.text("forwarder");
    if (r.what == "told_draining") told[r.text("worker")] = r.t;
    if (r.what == "told_ready") told.erase(r.text("worker"));
    if (r.what == "sent") obeys[r.text("id")] = r.fields.value("obeys", true);
    const auto it = r.what == "arrived" ? told.find(r.text("worker")) : told.end();
    if (it == told.end()) continue;
    const bool turned_away = r.fields.value("refused", false);
    const std::string who = r.text("worker") + " " + r.text("id");
    // A forwarder is bound by the rule while it is joined, and the time runs from its joining.
    std::int64_t from = it->second;
    const std::string& front = via[r.text("id")];
    if (!front.empty()) {
      if (!joined.contains(front)) continue;
      from = std::max(from, joined[front]);
    }
    const double after = seconds(r.t - from);
    if (obeys[r.text("id")]) {
      if (after > sent.worst) sent.worst = after, sent.detail = who;
    } else {
      refused += turned_away ? 1 : 0;
    }
    if (!turned_away && after > begun.worst) begun.worst = after, begun.detail = who;
  }
  // A worker's own watch begins a moment after the roster is told.
  constexpr double kSlack = 0.05;
  sent.kept = sent.worst <= sent.limit, begun.kept = begun.worst <= begun.limit + kSlack;
  out.push_back(sent), out.push_back(begun);
}

// Rule 4: the most that came to a cold worker within a window, for what it could do in that window.
Verdict cold(const Day& day, const std::vector<Record>& records) {
  Verdict v{"4 no cold worker pushed over", true, 0, day.tip_multiple, "times its capacity", ""};
  struct Young {
    std::int64_t start = 0;
    double cores = 1, sum = 0;
    std::deque<std::pair<std::int64_t, double>> came;
  };
  std::map<std::string, Young> young;
  for (const auto& r : records) {
    const std::string worker = r.text("worker");
    if (r.what == "start") {
      young.erase(worker);
      if (r.fields.value("cold", false)) young[worker] = {r.t, r.number("cores"), 0, {}};
    }
    if (r.what == "fell") v.kept = false, v.detail = worker + " fell over";
    const auto it = r.what == "arrived" ? young.find(worker) : young.end();
    if (it == young.end()) continue;
    Young& y = it->second;
    const double age = seconds(r.t - y.start) / day.cold_for.seconds();
    if (age >= 1) continue;
    y.came.emplace_back(r.t, r.number("work")), y.sum += r.number("work");
    while (r.t - y.came.front().first > day.tip_after.micros())
      y.sum -= y.came.front().second, y.came.pop_front();
    const double able = y.cores * (day.cold_from + (1 - day.cold_from) * age) * day.tip_after.seconds();
    if (y.sum / able > v.worst) {
      v.worst = y.sum / able;
      if (v.kept) v.detail = worker;
    }
  }
  v.kept = v.kept && v.worst <= v.limit;
  return v;
}

// Rule 5: the channel is reckoned anew from the messages that were written, at its stated pace.
void channel(const Day& day, const std::vector<Record>& records, std::vector<Verdict>& out) {
  const double limit = day.unsafe.backlog_judged > 0 ? day.unsafe.backlog_judged : day.backlog;
  Verdict lines{"5 lines waiting in a channel", true, 0, limit, "lines", ""};
  Verdict messages{"5 messages to a group", true, 0, static_cast<double>(day.messages_most),
                   "in the window",         ""};
  struct State {
    double waiting = 0;
    std::int64_t at = 0;
    std::map<int, std::deque<std::int64_t>> sent;
  };
  std::map<std::string, State> states;
  for (const auto& r : records) {
    if (r.what == "coordinator_start") states[r.text("coordinator")] = {};
    if (r.what != "message") continue;
    State& s = states[r.text("coordinator")];
    s.waiting = std::max(0.0, s.waiting - seconds(r.t - s.at) * day.lines_per_second) + r.number("lines");
    s.at = r.t;
    if (s.waiting > lines.worst) lines.worst = s.waiting, lines.detail = r.text("coordinator");
    auto& log = s.sent[r.fields.value("group", 0)];
    log.push_back(r.t);
    while (r.t - log.front() >= day.messages_window.micros()) log.pop_front();
    if (static_cast<double>(log.size()) > messages.worst)
      messages.worst = static_cast<double>(log.size()), messages.detail = r.text("coordinator");
  }
  lines.kept = lines.worst <= lines.limit;
  out.push_back(lines);
  if (day.messages_most <= 0) return;
  messages.kept = messages.worst <= messages.limit;
  out.push_back(messages);
}

void count(const Day& day, const std::vector<Record>& records, Audit& audit) {
  std::map<std::string, double> value;
  for (const auto& op : day.operations) value[op.name] = op.billed_value;
  std::map<std::string, std::size_t> phase_of;  // by invocation
  for (const auto& r : records) {
    if (r.what == "phase") audit.by_phase.emplace_back(r.text("name"), ServiceCounts{});
    if (r.what == "asked") {
      if (audit.by_phase.empty()) audit.by_phase.emplace_back("start", ServiceCounts{});
      phase_of[r.text("id")] = audit.by_phase.size() - 1;
    }
    if (r.what != "asked" && r.what != "done") continue;
    const std::string op = r.text("operation");
    for (ServiceCounts* c :
         {&audit.whole, &audit.by_operation[op], &audit.by_phase[phase_of[r.text("id")]].second}) {
      if (r.what == "asked") {
        c->offered_value += value[op], ++c->invocations;
        continue;
      }
      const std::string outcome = r.text("outcome");
      if (outcome == "succeeded") c->value_in_time += value[op];
      c->late += outcome == "late", c->errored += outcome == "errored";
      c->rate_limited += outcome == "rate_limited", c->no_line += outcome == "no_line";
    }
  }
}

void react(const std::vector<Record>& records, Audit& audit) {
  struct Down {
    std::int64_t since = 0;
    std::optional<std::int64_t> first_without, last_with;
  };
  std::map<std::string, std::string> place;
  std::map<std::string, Down> down;                                       // by address
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> draining;  // by worker: told, last sent
  std::map<std::string, bool> obeys;
  const auto settle = [&](const Down& d) {
    if (d.first_without) audit.crash_to_first_removal.seconds.push_back(seconds(*d.first_without - d.since));
    if (d.last_with) audit.crash_to_last_listing.seconds.push_back(seconds(*d.last_with - d.since));
  };
  for (const auto& r : records) {
    if (r.what == "start") {
      place[r.text("worker")] = r.text("at");
      if (const auto it = down.find(r.text("at")); it != down.end()) settle(it->second), down.erase(it);
    } else if (r.what == "down") {
      down[place[r.text("worker")]] = {r.t, {}, {}};
    } else if (r.what == "lookup" && r.fields.value("srv", false) && r.number("lines") > 0) {
      for (auto& [at, d] : down) {
        const auto& listed = r.fields.at("listed");
        const bool with = std::find(listed.begin(), listed.end(), at) != listed.end();
        if (with) d.last_with = r.t;
        if (!with && !d.first_without) d.first_without = r.t;
      }
    } else if (r.what == "told_draining") {
      draining[r.text("worker")] = {r.t, r.t};
    } else if (r.what == "told_ready") {
      if (const auto it = draining.find(r.text("worker")); it != draining.end()) {
        audit.drain_to_last_send.seconds.push_back(seconds(it->second.second - it->second.first));
        draining.erase(it);
      }
    } else if (r.what == "sent") {
      obeys[r.text("id")] = r.fields.value("obeys", true);
    } else if (r.what == "arrived" && obeys[r.text("id")]) {
      if (const auto it = draining.find(r.text("worker")); it != draining.end()) it->second.second = r.t;
    }
  }
  for (const auto& [at, d] : down) settle(d);
  std::map<std::string, std::int64_t> left;
  for (const auto& r : records) {
    if (r.what == "left") left[r.text("forwarder")] = r.t;
    const auto it = r.what == "joined" ? left.find(r.text("forwarder")) : left.end();
    if (it == left.end()) continue;
    audit.leaderless_times.seconds.push_back(seconds(r.t - it->second));
    left.erase(it);
  }
  for (const auto& r : records) audit.cuts += r.what == "cut" ? 1 : 0;
  for (const auto& r : records)
    if (r.what == "in_force") audit.in_force.seconds.push_back(r.number("took"));
}

}  // namespace

double ReactionTimes::median() const {
  if (seconds.empty()) return 0;
  std::vector<double> sorted = seconds;
  std::sort(sorted.begin(), sorted.end());
  return sorted[sorted.size() / 2];
}
double ReactionTimes::worst() const {
  return seconds.empty() ? 0 : *std::max_element(seconds.begin(), seconds.end());
}

bool Audit::kept() const {
  return std::all_of(verdicts.begin(), verdicts.end(), [](const Verdict& v) { return v.kept; });
}

Audit audit(const Day& day, const std::vector<Record>& records) {
  Audit a;
  a.verdicts.push_back(without_answer(day, records));
  if (!day.forwarders.empty()) a.verdicts.push_back(bare_forwarders(day, records));
  if (day.shared) a.verdicts.push_back(terms(records));
  a.verdicts.push_back(twice(day, records));
  drains(day, records, a.disobedient_refused, a.verdicts);
  a.verdicts.push_back(cold(day, records));
  channel(day, records, a.verdicts);
  count(day, records, a);
  react(records, a);
  return a;
}

}  // namespace gorsemount::standins
