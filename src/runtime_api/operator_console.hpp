// Runs the commands of the operators' socket: shows the state of the coordinator and passes operator commands
// to it. The coordinator decides which commands it accepts.
#pragma once

#include <deque>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "coordinator/coordinator.hpp"
#include "runtime_api/driver.hpp"

namespace gorsemount::runtime_api {

class OperatorConsole {
 public:
  // `submit` passes a command to the coordinator and returns the reason of a refusal, or an empty text.
  // `forwarders` returns the status of the driver's forwarders.
  OperatorConsole(const coordinator::Coordinator& coordinator,
                  std::function<std::string(coordinator::OperatorCommand)> submit,
                  std::function<std::vector<Driver::Status>()> forwarders, std::string token);

  // Rows of the `show` commands: columns and their values.
  using Rows = std::vector<std::vector<std::pair<std::string, std::string>>>;
  // Sets the callbacks of `show cluster` and `hand-over`. Without them, the coordinator has no cluster.
  void set_cluster_source(std::function<Rows()> show, std::function<std::string()> hand_over) {
    cluster_source_ = std::move(show), hand_over_ = std::move(hand_over);
  }

  // Sets the source of `show work`, the background tasks.
  void set_task_source(std::function<Rows()> show) { task_source_ = std::move(show); }

  [[nodiscard]] std::string handle(std::uint64_t peer, bool trusted, const std::string& command);
  void disconnected(std::uint64_t peer) { authenticated_peers_.erase(peer); }
  // Keeps a warning for `show errors`, up to a limit.
  void record_warning(const std::string& event,
                      const std::vector<std::pair<std::string, std::string>>& fields);

  // Returns the usage texts that begin with `start`, for shell completion.
  [[nodiscard]] static std::vector<std::string> complete(const std::string& start);

 private:
  [[nodiscard]] std::string show(const std::vector<std::string>& words, bool json);
  [[nodiscard]] std::string execute(const std::vector<std::string>& words);

  const coordinator::Coordinator& coordinator_;
  std::function<std::string(coordinator::OperatorCommand)> submit_;
  std::function<std::vector<Driver::Status>()> forwarders_;
  std::function<Rows()> cluster_source_, task_source_;
  std::function<std::string()> hand_over_;
  std::string token_;
  std::set<std::uint64_t> authenticated_peers_;  // peers that sent the token
  std::deque<std::vector<std::pair<std::string, std::string>>> warnings_;
};

}  // namespace gorsemount::runtime_api
