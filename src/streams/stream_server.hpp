// Accepts connections from proxies and collectors. A connection is pending until a valid join makes it a
// proxy's stream or a collector's. Splits input into lines and bounds pending connections by time, bytes and
// descriptors; the callbacks decide everything else.
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
    std::size_t max_connections = 1024;          // connections of all kinds, bounded by file descriptors
    std::size_t max_pending = 64;                // not yet joined; beyond this the oldest is closed
    Span join_timeout = Span::seconds(1.2);      // the protocol grants 1 s; the rest absorbs load spikes
    std::size_t max_partial_bytes = 4096;        // a partial line of a pending connection; joins are shorter
    std::size_t max_unread_bytes = 128U << 10U;  // unread output of a peer, the platform's own limit
    // Messages a second that a joined peer may send for long. Beyond it its input is read after that of
    // others; at kMaxExcessSeconds ahead of this rate it is cut.
    double max_message_rate = 10'000;
  };
  // Return null if the message was accepted, else the reason for refusing or skipping it.
  struct Callbacks {
    std::function<PolicyHost::JoinResult(StreamId, const ProxyJoin&)> on_join;
    std::function<const char*(const CollectorJoin&)> on_collector;
    std::function<const char*(std::optional<StreamId>, const Message&)> on_report;
    std::function<void(StreamId)> on_leave;
  };
  struct Counts {
    std::uint64_t accepted = 0, refused = 0, joins = 0, protocol_errors = 0, slow_consumers = 0, pings = 0;
    std::uint64_t reports = 0, bytes_sent = 0, messages_sent = 0;
    std::uint64_t over_rate = 0, over_memory = 0;    // connections closed for one of these reasons
    std::map<std::string, std::uint64_t> malformed;  // by kind and reason
    std::map<std::string, std::uint64_t> refusals;   // by reason
  };

  StreamServer(net::Loop& loop, const Endpoint& endpoint, Limits limits,
               Callbacks callbacks);  // throws std::system_error
  ~StreamServer();
  StreamServer(const StreamServer&) = delete;
  StreamServer& operator=(const StreamServer&) = delete;

  // Graceful shutdown: stops accepting, handles input that has already arrived, refuses pending connections,
  // flushes output, and closes each connection once its peer has closed or `timeout` has passed. Then calls
  // `on_done` once.
  void shut_down(Span timeout, std::function<void()> on_done);
  // True if only the connections reserved for pending peers and reconnecting proxies are left.
  [[nodiscard]] bool is_full() const { return joined_count() + kMinPending >= limits_.max_connections; }

  void send(StreamId stream, std::string_view bytes);
  void close_replaced(StreamId stream);  // replaced by a newer stream; on_leave is not called
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] std::size_t pending_count() const { return pending_.size(); }
  [[nodiscard]] std::size_t connection_count() const { return peers_.size(); }

 private:
  static constexpr std::size_t kMinPending = 8;
  static constexpr double kBurstSeconds = 2;       // of max_message_rate, before a peer is read later
  static constexpr double kMaxExcessSeconds = 10;  // of max_message_rate, before a peer is cut
  enum class Role { pending, closing, stream, collector };
  struct Peer {
    Role role = Role::pending;
    std::shared_ptr<net::Connection> connection;
    net::Loop::Timer deadline;
    std::size_t discarded_bytes = 0;
    std::size_t checked_bytes = 0;  // of the partial line, which passed is_invalid_prefix()
    bool has_valid_prefix = false;  // has sent a valid prefix of a message
    std::string zone;               // of a collector
    // Messages sent ahead of max_message_rate, as of `excess_at`.
    double excess_messages = 0;
    Instant excess_at;
  };
  void accept(net::Fd fd);
  std::size_t on_data(StreamId id, std::string_view bytes);
  void handle_message(StreamId id, Peer& peer, const Message& message);
  // Returns false if the peer has been cut for its rate.
  bool charge_message(StreamId id, Peer& peer, std::size_t bytes);
  void complete_join(StreamId id, Peer& peer, Role role);
  [[nodiscard]] net::Connection::Limits joined_limits(Role role) const;
  void refuse(StreamId id, const char* reason);
  void protocol_error(StreamId id, const char* reason);
  void skip_malformed(Peer& peer, const Malformed& error);
  void count_malformed(const std::string& kind, const std::string& reason);
  void on_closed(StreamId id, const char* reason);
  void drop(StreamId id);
  void evict_pending();
  std::size_t begin_close(StreamId id, bool handle_input);
  void finish();
  [[nodiscard]] std::size_t joined_count() const { return peers_.size() - pending_.size(); }
  [[nodiscard]] std::size_t pending_capacity() const;  // current limit of pending connections

  net::Loop& loop_;
  Limits limits_;
  Callbacks callbacks_;
  std::map<StreamId, Peer> peers_;
  std::set<StreamId> pending_;                               // and closing ones, oldest first
  std::map<std::string, std::vector<StreamId>> collectors_;  // by zone, oldest first
  StreamId last_stream_ = 0;
  bool shutting_down_ = false;
  std::function<void()> on_done_;
  net::Loop::Timer shutdown_timer_;
  Counts counts_;
  std::unique_ptr<net::Listener> listener_;
};

}  // namespace gorsemount::streams
