// The channel's ledger: what waits, in lines, and how many messages each group got within the window. It
// keeps rule 5 even if the module's orders would not: what does not fit is held back and sent merged, later.
#pragma once

#include <deque>
#include <map>
#include <memory>

#include "coordinator/types.hpp"

namespace gorsemount::coordinator {

// A table as one version of it; what a group is bound to.
struct Table {
  TableId id;
  std::uint64_t version = 0;
  Instant made;
  std::map<BackendId, double> lines;
  std::vector<AdmissionLevel> levels;
  std::vector<int> tiers;  // by zone of backends, for whoever turns from one to the next; empty: all 0
  bool urgent = false;     // it takes out what a rule forces out
};
using TablePtr = std::shared_ptr<const Table>;

class Channel {
 public:
  explicit Channel(const Settings& settings) : s_{&settings} {}

  void join(ProxyId group) { groups_.try_emplace(group); }
  void leave(ProxyId group);
  void want(ProxyId group, TablePtr table) { groups_.at(group).wanted = std::move(table); }

  // The one place that works out the difference between what is wanted and what was sent, and sends what
  // fits. Returns the messages that it wrote.
  std::vector<Message> dispatch(Instant now);
  // What has left the channel by now: whose tables changed.
  std::vector<ProxyId> arrive(Instant now);

  [[nodiscard]] const std::map<ProxyId, TablePtr>& in_force() const { return in_force_; }
  [[nodiscard]] double waiting(Instant now) const;
  [[nodiscard]] std::size_t messages_waiting() const { return queue_.size(); }
  [[nodiscard]] std::optional<Instant> next_arrival() const;
  [[nodiscard]] std::uint64_t held_back() const { return held_back_; }  // messages that did not fit at once
  [[nodiscard]] double most_waiting() const { return most_; }

 private:
  struct State {
    TablePtr wanted, sent;
    std::deque<Instant> messages;  // within the window
    bool held = false;
  };
  struct Underway {
    ProxyId group;
    TablePtr table;
    Instant arrives;
  };
  void send(Instant now, ProxyId group, State& state, std::vector<Message>& written);

  const Settings* s_;
  std::map<ProxyId, State> groups_;
  std::map<ProxyId, TablePtr> in_force_;
  std::deque<Underway> queue_;
  Instant free_at_;  // when the channel has sent all that waits
  std::uint64_t held_back_ = 0;
  double most_ = 0;
};

}  // namespace gorsemount::coordinator
