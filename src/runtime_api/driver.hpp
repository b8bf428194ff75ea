// Configures forwarders over their runtime sockets, with one connection each. A new connection reads the
// forwarder's actual table and then sends the difference to the desired one. A change counts as applied when
// the forwarder's answer confirms it, and a periodic read detects drift. forwarders::plan decides the changes
// and their order.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "coordinator/types.hpp"
#include "forwarders/counters.hpp"
#include "forwarders/plan.hpp"
#include "net/socket.hpp"

namespace gorsemount::runtime_api {

struct DriverSettings {
  struct Target {
    ProxyId id;
    std::string name;
    Endpoint endpoint;
    std::string socket_path;  // of a UNIX socket, instead of `endpoint`
  };
  std::vector<Target> targets;
  std::vector<std::string> operations;
  bool shared = false;  // no forwarder is managed until set_term() says so
  Span stats_interval, verify_interval, response_timeout, reconnect_delay;
  std::string leader = {};  // this coordinator's name, sent to the forwarders of a shared fleet
};

struct DriverHooks {
  std::function<void(coordinator::Input)> report;
  std::function<std::optional<BackendId>(const std::string&)> backend_of;
  std::function<void(bool warning, const std::string& event,
                     std::vector<std::pair<std::string, std::string>>)>
      log;
  // Asked before each batch of changes, since a lease may have expired; absent: always allowed.
  std::function<bool(ProxyId)> may_send_changes;
  // A forwarder applied a version, `latency` after deliver().
  std::function<void(ProxyId, std::uint64_t version, Span latency, std::size_t changes)> on_applied;
  // The highest term that the forwarder has seen, read when a connection opens; may be absent.
  std::function<void(ProxyId, std::uint64_t term)> on_term_seen = {};
};

class Driver {
 public:
  Driver(net::Loop& loop, DriverSettings settings, DriverHooks hooks);
  ~Driver();
  Driver(const Driver&) = delete;
  Driver& operator=(const Driver&) = delete;

  // In a shared fleet, connects to the forwarder and manages it under `term`, or disconnects if there is
  // none. A coordinator without a cluster manages all forwarders without terms.
  void set_term(ProxyId forwarder, std::optional<std::uint64_t> term);
  void deliver(ProxyId forwarder, std::shared_ptr<const coordinator::DesiredTable> table);

  struct Status {
    std::string name;
    bool synchronized = false;  // connected, and its actual table is known
    std::uint64_t applied_version = 0, repairs = 0, refusals = 0;
    std::size_t pending = 0;  // commands without an answer yet
  };
  [[nodiscard]] std::vector<Status> status() const;

 private:
  class Connection;
  // Forwarders with the same desired table mostly have the same actual table, so their plan is computed once.
  struct Plan {
    std::shared_ptr<const coordinator::DesiredTable> desired;
    forwarders::ActualTable actual;
    bool supports_variables = true;
    std::vector<forwarders::Change> changes;
    std::string text;
  };
  [[nodiscard]] std::shared_ptr<const Plan> plan(
      const forwarders::ActualTable& actual, const std::shared_ptr<const coordinator::DesiredTable>& desired,
      bool supports_variables);

  net::Loop& loop_;
  DriverSettings settings_;
  DriverHooks hooks_;
  std::shared_ptr<const Plan> last_plan_, last_empty_plan_;  // cached, with changes and without
  std::map<ProxyId, std::unique_ptr<Connection>> connections_;
};

}  // namespace gorsemount::runtime_api
