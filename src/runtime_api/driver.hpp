// Drives forwarders by their runtime sockets: a stream each. A new stream learns what its forwarder holds,
// then sends the difference; a line is in force when the forwarder's answer says so; a read-back finds what
// drifted. What to change, and in which order, is forwarders::plan's to say.
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
    Endpoint at;
    std::string path;  // of a UNIX socket, in place of `at`
  };
  std::vector<Target> targets;
  std::vector<std::string> operations;
  bool shared = false;  // nobody is led until set_term() says so
  Span stats_interval, verify_interval, response_timeout, reconnect_delay;
  std::string leader = {};  // this controller's name, told to forwarders in a shared fleet
};

struct DriverHooks {
  std::function<void(coordinator::Input)> report;
  std::function<std::optional<BackendId>(const std::string&)> backend_of;
  std::function<void(bool warning, const std::string& event,
                     std::vector<std::pair<std::string, std::string>>)>
      log;
  // Asked before each change, since a lease ends by the clock; absent: always.
  std::function<bool(ProxyId)> may_order;
  // A version came into force at a forwarder, so long after it was handed over.
  std::function<void(ProxyId, std::uint64_t version, Span took, std::size_t changes)> in_force;
  // The term that a forwarder has seen, as it says when a stream begins; absent: it does not matter.
  std::function<void(ProxyId, std::uint64_t term)> term_seen = {};
};

class Driver {
 public:
  Driver(net::Loop& loop, DriverSettings settings, DriverHooks hooks);
  ~Driver();
  Driver(const Driver&) = delete;
  Driver& operator=(const Driver&) = delete;

  // In a shared fleet: with a term the forwarder is led, under it; without one its stream is given up. Alone,
  // all are led, without terms.
  void set_term(ProxyId forwarder, std::optional<std::uint64_t> term);
  void deliver(ProxyId forwarder, std::shared_ptr<const coordinator::DesiredTable> table);

  struct Status {
    std::string name;
    bool up = false;
    std::uint64_t holds = 0, repairs = 0, refusals = 0;
    std::size_t waiting = 0;  // commands without an answer yet
  };
  [[nodiscard]] std::vector<Status> status() const;

 private:
  class Stream;
  // Forwarders bound to one table mostly hold the same, so their way to the next is worked out once.
  struct Way {
    std::shared_ptr<const coordinator::DesiredTable> wanted;
    forwarders::ActualTable from;
    bool with_values = true;
    std::vector<forwarders::Change> changes;
    std::string text;
  };
  [[nodiscard]] std::shared_ptr<const Way> way(const forwarders::ActualTable& from,
                                               const std::shared_ptr<const coordinator::DesiredTable>& wanted,
                                               bool with_values);

  net::Loop& loop_;
  DriverSettings s_;
  DriverHooks hooks_;
  std::shared_ptr<const Way> last_, there_;  // the last that was worked out: of some changes, and of none
  std::map<ProxyId, std::unique_ptr<Stream>> streams_;
};

}  // namespace gorsemount::runtime_api
