#include "cluster/replication.hpp"

#include <algorithm>
#include <utility>

#include "recovery/codec.hpp"
#include "recovery/fact_confidence.hpp"

namespace gorsemount::cluster {

using recovery::Entry;
using recovery::FactKind;

namespace {

constexpr std::size_t kBatch = 32;  // facts that are tried to be put into one message
const Span kFollow =
    Span::seconds(3);  // a leader that was not heard for that long is not followed: six beats

std::int64_t micros(Instant t) { return (t - Instant{}).micros(); }

}  // namespace

Replication::Replication(MemberId self, std::vector<MemberId> others, std::uint64_t start,
                         ReplicationSettings settings)
    : self_{self}, s_{settings}, start_{std::max<std::uint64_t>(start, 1)} {
  for (const auto other : others)
    if (other != self_) peers_[other], copies_[other];
}

std::size_t Replication::observe(Instant now, const recovery::Facts& present) {
  const auto wrote = own_.observe(now, present);
  std::uint64_t all = own_.last_sequence();
  for (const auto& [member, peer] : peers_) all = std::min(all, peer.acked);
  own_.purge_deleted(now, all);
  return wrote;
}

void Replication::send(MemberId to, Body body) {
  Message& m = out_.emplace_back();
  m.from = self_, m.to = to, m.body = std::move(body);
}

void Replication::tell(Instant now, MemberId to, Peer& peer) {
  ReplicationBatch news{start_, peer.acked, peer.acked, own_.last_sequence(), peer.echo, {}};
  auto entries = own_.after(peer.acked, kBatch);
  while (!entries.empty()) {
    news.facts = recovery::encode(entries, now);
    if (news.facts.size() <= s_.bytes) break;
    if (entries.size() == 1) {
      // A fact that fits into no message is passed over, and that is counted; nothing else waits behind it.
      ++counters_.too_large;
      news.facts.clear();
      break;
    }
    entries.resize(entries.size() / 2);
  }
  if (!entries.empty()) news.upto = entries.back().sequence;
  // The end of the log may be of entries that were compacted away.
  if (own_.after(news.upto, 1).empty()) news.upto = own_.last_sequence();
  peer.underway = news.upto, peer.again = now + s_.again, peer.beat = now + s_.beat;
  ++counters_.told;
  send(to, std::move(news));
}

std::vector<Message> Replication::tick(Instant now) {
  for (auto& [member, peer] : peers_) {
    const bool waiting = peer.underway > peer.acked && now < peer.again;
    if ((peer.acked < own_.last_sequence() && !waiting) || now >= peer.beat) tell(now, member, peer);
  }
  return std::exchange(out_, {});
}

Instant Replication::wake_at() const {
  Instant next = Instant{} + Span::micros(INT64_MAX);
  for (const auto& [member, peer] : peers_) {
    next = std::min(next, peer.beat);
    if (peer.acked < own_.last_sequence()) next = std::min(next, peer.again);
  }
  return next;
}

void Replication::take(Instant now, MemberId from, const ReplicationBatch& news) {
  Copy& copy = copies_.at(from);
  const auto answer = [&] { send(from, Heard{copy.start, copy.upto, micros(now)}); };
  if (news.start < copy.start) return;  // of a life that is over
  if (news.start > copy.start) copy = {}, copy.start = news.start;
  // A process that stood still, or a path that holds things back: what it says may long be otherwise. The
  // answer tells the sender our clock, and the next word can be bounded.
  if (news.echo == 0 || now - (Instant{} + Span::micros(news.echo)) > s_.late) {
    counters_.late += news.echo == 0 ? 0 : 1;
    return answer();
  }
  if (news.from != copy.upto || news.upto < news.from || news.last < news.upto) return answer();
  if (!news.facts.empty()) {
    auto read = recovery::decode(news.facts, now);
    if (std::holds_alternative<std::string>(read)) {
      ++counters_.garbled;
      return;
    }
    for (auto& entry : std::get<std::vector<Entry>>(read)) {
      news_.push_back(entry);
      copy.known.put(std::move(entry));
      ++counters_.taken;
    }
  }
  copy.upto = news.upto, copy.last = news.last;
  if (copy.whole())
    copy.confirmed = std::max(copy.confirmed.value_or(Instant{}), Instant{} + Span::micros(news.echo));
  copy.known.purge_deleted(now, 0);
  answer();
}

void Replication::receive(Instant now, const Message& m) {
  const auto it = peers_.find(m.from);
  if (it == peers_.end()) return;
  if (const auto* news = std::get_if<ReplicationBatch>(&m.body)) {
    take(now, m.from, *news);
  } else if (const auto* heard = std::get_if<Heard>(&m.body)) {
    Peer& peer = it->second;
    peer.echo = std::max(peer.echo, heard->at);
    if (heard->start != start_) {
      peer.acked = 0, peer.beat = now;  // it knows another life of ours, or none
      return;
    }
    if (heard->upto > own_.last_sequence()) return;
    peer.acked = heard->upto, peer.underway = std::min(peer.underway, peer.acked);
  }
}

std::vector<Entry> Replication::take_news() { return std::exchange(news_, {}); }

std::vector<Entry> Replication::believed(Instant now) const {
  std::vector<std::vector<Entry>> sources;
  for (const auto& [member, copy] : copies_) {
    if (!copy.confirmed) continue;
    auto entries = copy.known.after(0);
    // What was learned since the last whole confirmation is younger than that, and no worse.
    for (auto& e : entries) e.learned = std::min(e.learned, *copy.confirmed);
    sources.push_back(recovery::select_trusted(entries, *copy.confirmed, now).applicable);
  }
  return recovery::merge(std::move(sources));
}

std::optional<GroupTable> table_of(const std::map<MemberId, Replication::Copy>& copies,
                                   const std::string& group, Instant now) {
  const Replication::Copy* leader = nullptr;
  const Entry* word = nullptr;
  for (const auto& [member, copy] : copies) {
    if (!copy.confirmed || now - *copy.confirmed > kFollow) continue;
    const auto it = copy.known.entries().find({FactKind::group_table, group});
    if (it == copy.known.entries().end() || it->second.deleted || !it->second.fact.figures.contains("table"))
      continue;
    if (word != nullptr && word->learned >= it->second.learned) continue;
    leader = &copy, word = &it->second;
  }
  if (leader == nullptr) return {};
  const std::string table = std::to_string(static_cast<long>(word->fact.figures.at("table")));
  GroupTable found;
  const auto& entries = leader->known.entries();
  const std::string prefix = table + "/";
  for (auto it = entries.lower_bound({FactKind::table_lines, prefix});
       it != entries.end() && it->first.kind == FactKind::table_lines && it->first.name.starts_with(prefix);
       ++it)
    if (!it->second.deleted)
      for (const auto& [backend, weight] : it->second.fact.figures) found.lines[backend] = weight;
  if (const auto it = entries.find({FactKind::table_levels, table});
      it != entries.end() && !it->second.deleted)
    for (const auto& [name, value] : it->second.fact.figures) {
      const auto at = name.find(' ');
      if (at == std::string::npos) continue;
      auto& [tries, level] = found.levels.try_emplace(name.substr(at + 1), 1, 1.0).first->second;
      if (name.starts_with("tries ")) tries = static_cast<int>(std::clamp(value, 0.0, 3.0));
      if (name.starts_with("level ")) level = value;
    }
  if (found.lines.empty()) return {};
  return found;
}

}  // namespace gorsemount::cluster
