#include "recovery/fact_log.hpp"

#include <algorithm>
#include <cmath>

#include "recovery/fact_confidence.hpp"

namespace gorsemount::recovery {

namespace {

const Span kTimeNoise = Span::seconds(0.25);  // a start is reckoned from two readings; they differ by a trip
constexpr double kRateNoise = 0.1;            // measured rates move by that much from round to round
const Span kGoneKept = Span::seconds(600);    // as long as the core remembers a backend that left

bool measured(FactKind kind) {
  return kind == FactKind::usual_rate || kind == FactKind::carried || kind == FactKind::further_tries;
}

bool same(FactKind kind, const Fact& a, const Fact& b) {
  if (a.instance != b.instance || a.figures.size() != b.figures.size() || a.times.size() != b.times.size())
    return false;
  const double noise = measured(kind) ? kRateNoise : 1e-9;
  for (const auto& [name, figure] : a.figures) {
    const auto it = b.figures.find(name);
    if (it == b.figures.end()) return false;
    if (std::abs(it->second - figure) > noise * std::max({std::abs(figure), std::abs(it->second), 1e-9}))
      return false;
  }
  for (const auto& [name, time] : a.times) {
    const auto it = b.times.find(name);
    if (it == b.times.end() || it->second - time > kTimeNoise || time - it->second > kTimeNoise) return false;
  }
  return true;
}

}  // namespace

const char* name_of(FactKind kind) {
  constexpr const char* names[] = {"zone_ladder", "backend_ladder", "link_ladder",   "cold_start",
                                   "drain",       "carried",        "usual_rate",    "sent_table",
                                   "held_table",  "further_tries",  "person_weight", "person_out",
                                   "person_zone", "hold",           "group_seen",    "group_table",
                                   "table_lines", "table_levels",   "fleet"};
  static_assert(std::size(names) == kFactKindCount);
  return names[static_cast<std::size_t>(kind)];
}

void FactLog::write(Entry entry) {
  if (const auto was = entries_.find(entry.subject); was != entries_.end())
    order_.erase(was->second.sequence);
  last_ = std::max(last_, entry.sequence);
  order_.insert_or_assign(entry.sequence, entry.subject);
  Subject key = entry.subject;
  entries_.insert_or_assign(std::move(key), std::move(entry));
}

std::size_t FactLog::observe(Instant now, const Facts& present) {
  std::size_t wrote = 0;
  for (const auto& [subject, fact] : present) {
    const auto was = entries_.find(subject);
    if (was != entries_.end() && !was->second.deleted && same(subject.kind, was->second.fact, fact)) continue;
    write({subject, fact, now, last_ + 1, false});
    ++wrote;
  }
  std::vector<Subject> lost;
  for (const auto& [subject, entry] : entries_)
    if (!entry.deleted && !present.contains(subject)) lost.push_back(subject);
  for (auto& subject : lost) {
    Entry entry{std::move(subject), {}, now, last_ + 1, true};
    entry.fact.instance = entries_.at(entry.subject).fact.instance;
    write(std::move(entry));
    ++wrote;
  }
  bound(now);
  return wrote;
}

void FactLog::put(Entry entry) {
  const Instant now = entry.learned;
  write(std::move(entry));
  bound(now);
}

std::vector<Entry> FactLog::after(std::uint64_t sequence, std::size_t most) const {
  std::vector<Entry> found;
  for (auto it = order_.upper_bound(sequence); it != order_.end() && found.size() < most; ++it)
    found.push_back(entries_.at(it->second));
  return found;
}

void FactLog::purge_deleted(Instant now, std::uint64_t told) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const Entry& e = it->second;
    if (e.deleted && (e.sequence <= told || now - e.learned > kGoneKept)) {
      order_.erase(e.sequence);
      it = entries_.erase(it);
    } else {
      ++it;
    }
  }
}

// Guards against names that come and go for ever: what is gone goes first, then what is trusted least.
void FactLog::bound(Instant now) {
  if (entries_.size() <= most_) return;
  purge_deleted(now, last_);
  if (entries_.size() <= most_) return;
  std::vector<std::pair<double, std::uint64_t>> worth;
  for (const auto& [subject, e] : entries_)
    worth.emplace_back(trust(subject.kind, now - e.learned), e.sequence);
  std::sort(worth.begin(), worth.end());
  for (std::size_t k = 0; entries_.size() > most_; ++k) {
    const auto it = order_.find(worth[k].second);
    entries_.erase(it->second);
    order_.erase(it);
  }
}

}  // namespace gorsemount::recovery
