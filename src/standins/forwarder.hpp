// A stand-in forwarder: a plain proxy with a runtime socket in the published command language. It picks by
// its table and nothing else, keeps it when the stream breaks, avoids what failed it, and has faults on
// command.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "limits/retry_limiter.hpp"
#include "net/http.hpp"
#include "runtime_api/codec.hpp"
#include "runtime_api/command_server.hpp"
#include "script/day.hpp"
#include "standins/records.hpp"

namespace gorsemount::standins {

struct ForwarderSettings {
  std::string name, zone;
  Endpoint listen, runtime;
  std::vector<DayOperation> operations;
  std::vector<RosterLine> first;  // what its own configuration lists
  bool two_choice = false;
  bool fences = true;  // takes nothing from a stream whose term is below one that it has seen
};

class Forwarder {
 public:
  Forwarder(net::Loop& loop, Recorder& recorder, ForwarderSettings settings, std::uint64_t seed);
  ~Forwarder();
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  void restart();  // as its configuration has it: what it was told is forgotten
  void break_streams();
  void inject_fault(std::optional<InjectedFaultKind> kind);
  // Of the next orders that many bytes are taken; what follows stays on the way. `then` gets the sender's
  // name.
  void cut_after(std::size_t bytes, std::function<void(const std::string& leader)> then);
  void thaw() { runtime_.resume(); }
  void drop_frozen() { runtime_.drop_paused(); }
  [[nodiscard]] const ForwarderSettings& settings() const { return s_; }

 private:
  using Key = std::pair<std::string, std::string>;
  struct Line {
    forwarders::ActualLine held;
    std::uint64_t tries = 0, errored = 0, failed = 0;  // failed: 5xx
    double latency = 0;
    int out = 0, in_a_row = 0;
    Instant avoid_until;
  };
  struct Call;
  struct Peer;

  void configure();
  void listen();
  std::string command(std::uint64_t peer, const std::string& text);
  std::string set_server(const std::vector<std::string>& words);
  [[nodiscard]] std::string servers_state() const;
  [[nodiscard]] std::string stat() const;
  void request(const std::shared_ptr<net::Connection>& connection, const net::Request& request);
  void forward(const std::shared_ptr<Call>& call);
  void replied(const std::shared_ptr<Call>& call, const Key& key, const net::HttpClient::Result& result);
  void answer(const Call& call, unsigned status, bool never_ran);
  [[nodiscard]] std::optional<std::string> pick(const Call& call);
  [[nodiscard]] bool admitted(std::size_t operation);
  [[nodiscard]] int value(const std::string& name, int otherwise) const;

  net::Loop& loop_;
  Recorder& recorder_;
  ForwarderSettings s_;
  std::mt19937 chance_;
  std::map<Key, Line> lines_;
  std::map<std::string, int> values_;
  std::map<std::string, std::uint64_t> arrived_, further_;
  limits::RetryLimiter meter_;
  std::map<std::string, std::pair<double, Instant>> tokens_;  // of rates, by operation
  std::optional<InjectedFaultKind> fault_;
  Instant started_, still_until_;  // it stands still while it reads lines
  runtime_api::CommandServer runtime_;
  std::unique_ptr<net::Listener> listener_;
  std::map<std::uint64_t, std::shared_ptr<Peer>> peers_;
  std::map<Endpoint, std::vector<std::unique_ptr<net::HttpClient>>> pool_;
  std::map<std::uint64_t, std::uint64_t> terms_;  // of streams that said theirs
  std::map<std::uint64_t, std::string> leaders_;  // by peer, as it says
  std::uint64_t highest_ = 0;
  std::size_t cut_bytes_ = 0;
  std::function<void(const std::string&)> cut_;
  std::set<std::uint64_t> led_by_;  // streams that asked what it holds: whoever does, leads it
  std::uint64_t number_ = 0;
};

}  // namespace gorsemount::standins
