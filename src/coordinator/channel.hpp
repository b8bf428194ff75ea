// Accounts for the update channel: its backlog in lines and the number of messages to each group within the
// window. It enforces both limits whatever the policy orders: an update that does not fit is deferred and
// later sent merged with newer changes.
#pragma once

#include <deque>
#include <map>
#include <memory>

#include "coordinator/types.hpp"

namespace gorsemount::coordinator {

// One version of a table. Groups and forwarders are bound to a table.
struct Table {
  TableId id;
  std::uint64_t version = 0;
  Instant created_at;
  std::map<BackendId, double> lines;
  std::vector<AdmissionLevel> levels;
  std::vector<int> tiers;  // by backend zone, for clients that fail over between zones; empty: all 0
  bool urgent = false;     // removes a backend that must not get new work
};
using TablePtr = std::shared_ptr<const Table>;

class Channel {
 public:
  explicit Channel(const Settings& settings) : settings_{&settings} {}

  void join(ProxyId group) { groups_.try_emplace(group); }
  void leave(ProxyId group);
  void request(ProxyId group, TablePtr table) { groups_.at(group).target = std::move(table); }

  // Computes the difference between the requested and the last sent tables and sends the updates that fit.
  // Returns the messages sent.
  std::vector<Message> dispatch(Instant now);
  // Applies the updates that have left the channel by now. Returns the proxies whose tables changed.
  std::vector<ProxyId> take_arrived(Instant now);

  [[nodiscard]] const std::map<ProxyId, TablePtr>& in_force() const { return in_force_; }
  [[nodiscard]] double backlog(Instant now) const;
  [[nodiscard]] std::size_t queued_messages() const { return in_flight_.size(); }
  [[nodiscard]] std::optional<Instant> next_arrival() const;
  [[nodiscard]] std::uint64_t deferred_messages() const {
    return deferred_messages_;
  }  // messages that did not fit at once
  [[nodiscard]] double peak_backlog() const { return peak_backlog_; }

 private:
  struct State {
    TablePtr target, sent;
    std::deque<Instant> messages;  // sent within the window
    bool deferred = false;
  };
  struct Transfer {
    ProxyId group;
    TablePtr table;
    Instant arrival;
  };
  void send(Instant now, ProxyId group, State& state, std::vector<Message>& written);

  const Settings* settings_;
  std::map<ProxyId, State> groups_;
  std::map<ProxyId, TablePtr> in_force_;
  std::deque<Transfer> in_flight_;
  Instant idle_at_;  // when the backlog will have been sent
  std::uint64_t deferred_messages_ = 0;
  double peak_backlog_ = 0;
};

}  // namespace gorsemount::coordinator
