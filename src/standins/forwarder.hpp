// A stand-in forwarder: a plain proxy with a runtime socket that speaks the published command language. It
// selects workers only by its table, keeps the table when the stream breaks, avoids workers that failed
// repeatedly, and has injectable faults.
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
  std::vector<RosterLine> initial_servers;  // servers of its initial configuration
  bool two_choice = false;
  bool fences = true;  // rejects commands of a stream whose term is below the highest seen
};

class Forwarder {
 public:
  Forwarder(net::Loop& loop, Recorder& recorder, ForwarderSettings settings, std::uint64_t seed);
  ~Forwarder();
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  void restart();  // back to its initial configuration; all received changes are lost
  void break_streams();
  void inject_fault(std::optional<InjectedFaultKind> kind);
  // Reads only the next `bytes` of commands; the rest stays in flight. Then calls `then` with the sender's
  // name.
  void cut_after(std::size_t bytes, std::function<void(const std::string& leader)> then);
  void resume_commands() { runtime_.resume(); }
  void drop_pending_commands() { runtime_.drop_paused(); }
  [[nodiscard]] const ForwarderSettings& settings() const { return s_; }

 private:
  using Key = std::pair<std::string, std::string>;
  struct Line {
    forwarders::ActualLine held;
    std::uint64_t tries = 0, errored = 0, failed = 0;  // failed: 5xx responses
    double latency = 0;
    int in_flight = 0, consecutive_failures = 0;
    Instant avoid_until;
  };
  struct Call;
  struct ClientConnection;

  void configure();
  void listen();
  std::string command(std::uint64_t peer, const std::string& text);
  std::string set_server(const std::vector<std::string>& words);
  [[nodiscard]] std::string servers_state() const;
  [[nodiscard]] std::string stat() const;
  void request(const std::shared_ptr<net::Connection>& connection, const net::Request& request);
  void forward(const std::shared_ptr<Call>& call);
  void on_reply(const std::shared_ptr<Call>& call, const Key& key, const net::HttpClient::Result& result);
  void answer(const Call& call, unsigned status, bool never_ran);
  [[nodiscard]] std::optional<std::string> select_worker(const Call& call);
  [[nodiscard]] bool admit(std::size_t operation);
  [[nodiscard]] int variable(const std::string& name, int fallback) const;

  net::Loop& loop_;
  Recorder& recorder_;
  ForwarderSettings s_;
  std::mt19937 random_;
  std::map<Key, Line> lines_;
  std::map<std::string, int> variables_;
  std::map<std::string, std::uint64_t> arrived_, retries_;
  limits::RetryLimiter retry_limiter_;
  // Token buckets of the rate limits, by operation.
  std::map<std::string, std::pair<double, Instant>> tokens_;
  std::optional<InjectedFaultKind> fault_;
  Instant started_, paused_until_;  // forwards nothing before this, while it applies changes
  runtime_api::CommandServer runtime_;
  std::unique_ptr<net::Listener> listener_;
  std::map<std::uint64_t, std::shared_ptr<ClientConnection>> peers_;
  std::map<Endpoint, std::vector<std::unique_ptr<net::HttpClient>>> pool_;
  std::map<std::uint64_t, std::uint64_t> terms_;  // announced terms, by stream
  std::map<std::uint64_t, std::string> leaders_;  // announced leader names, by stream
  std::uint64_t highest_term_ = 0;
  std::size_t cut_after_bytes_ = 0;
  std::function<void(const std::string&)> cut_callback_;
  std::set<std::uint64_t> leader_streams_;  // streams that read the server state, which only a leader does
  std::uint64_t number_ = 0;
};

}  // namespace gorsemount::standins
