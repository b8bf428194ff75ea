// The coordinator's address: who connects is a pending connection until a valid join makes it a proxy's
// stream or a collector. It reads lines, keeps pending connections within bounds of time, bytes and
// descriptors, and decides nothing else.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "net/loop.hpp"
#include "net/socket.hpp"
#include "streams/message.hpp"
#include "streams/policy_host.hpp"

namespace gorsemount::streams {

class StreamServer {
 public:
  struct Limits {
    std::size_t peers = 1024;                // connections of all kinds: what the descriptors allow
    std::size_t pending = 64;                // of them not yet joined, at most; beyond, the oldest goes
    Span joins_within = Span::seconds(1.2);  // a second is owed, and something for a busy moment
    std::size_t half_message = 4096;         // of a pending connection: no join is longer
    std::size_t unread = 128U << 10U;        // what a peer may leave unread, as on the platform
  };
  // Who says what a message is worth. Null: it was taken; else why it is refused or skipped.
  struct Callbacks {
    std::function<PolicyHost::JoinResult(StreamId, const ProxyJoin&)> joined;
    std::function<const char*(const CollectorJoin&)> collector;
    std::function<const char*(std::optional<StreamId>, const Message&)> report;
    std::function<void(StreamId)> left;
  };
  struct Counts {
    std::uint64_t accepted = 0, refused = 0, joins = 0, protocol_errors = 0, slow_consumers = 0, pings = 0;
    std::uint64_t reports = 0, bytes_sent = 0, messages_sent = 0;
    std::map<std::string, std::uint64_t> malformed;  // by kind and reason
    std::map<std::string, std::uint64_t> refusals;   // by reason
  };

  StreamServer(net::Loop& loop, const Endpoint& at, Limits limits,
               Callbacks callbacks);  // throws std::system_error
  ~StreamServer();
  StreamServer(const StreamServer&) = delete;
  StreamServer& operator=(const StreamServer&) = delete;

  // Ends in order: takes no more connections, answers what has come, refuses whoever has not joined, writes
  // what waits, and closes each side when its peer has, or when `within` is over. Then calls `done`, once.
  void shut_down(Span within, std::function<void()> done);
  // One more join would take the last places, which are for pending connections and for successors.
  [[nodiscard]] bool is_full() const { return joined() + kPendingLeast >= limits_.peers; }

  void send(StreamId stream, std::string_view bytes);
  void end(StreamId stream);  // another has succeeded it; the callbacks is not told
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] std::size_t pending_count() const { return pending_.size(); }
  [[nodiscard]] std::size_t connection_count() const { return peers_.size(); }

 private:
  static constexpr std::size_t kPendingLeast = 8;
  enum class Role { pending, closing, stream, collector };
  struct Peer {
    Role role = Role::pending;
    std::shared_ptr<net::Connection> connection;
    net::Loop::Timer deadline;
    std::size_t discarded = 0;
    bool hopeful = false;  // has sent the beginning of a message
    std::string zone;      // of a collector
  };
  void accept(net::Fd fd);
  std::size_t data(StreamId id, std::string_view bytes);
  void message(StreamId id, Peer& peer, const Message& message);
  void settled(StreamId id, Peer& peer, Role role);
  void refuse(StreamId id, const char* why);
  void protocol_error(StreamId id, const char* why);
  void malformed(const std::string& kind, const std::string& why);
  void closed(StreamId id, const char* why);
  void drop(StreamId id);
  void make_room();
  void close_peer(StreamId id);
  void finish();
  [[nodiscard]] std::size_t joined() const { return peers_.size() - pending_.size(); }
  [[nodiscard]] std::size_t room() const;  // for pending connections, as things stand

  net::Loop& loop_;
  Limits limits_;
  Callbacks callbacks_;
  std::map<StreamId, Peer> peers_;
  std::set<StreamId> pending_;                               // and those that leave; oldest first
  std::map<std::string, std::vector<StreamId>> collectors_;  // by zone, oldest first
  StreamId last_ = 0;
  bool shutting_down_ = false;
  std::function<void()> done_;
  net::Loop::Timer end_;
  Counts counts_;
  std::unique_ptr<net::Listener> listener_;
};

}  // namespace gorsemount::streams
