// The commands that a person at a terminal has. Shows what is, and hands orders to the core; what may be
// ordered is the core's to say.
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
  // `order` hands an order to the core at once and returns its answer. `forwarders` may be empty.
  OperatorConsole(const coordinator::Coordinator& core,
                  std::function<std::string(coordinator::OperatorCommand)> order,
                  std::function<std::vector<Driver::Status>()> forwarders, std::string token);

  // What a shared fleet adds: `show cluster` rows, and `hand-over`. Absent: the coordinator stands alone.
  using Rows = std::vector<std::vector<std::pair<std::string, std::string>>>;
  void set_cluster_source(std::function<Rows()> show, std::function<std::string()> hand_over) {
    cluster_ = std::move(show), hand_over_ = std::move(hand_over);
  }

  // `show work`: background tasks.
  void set_task_source(std::function<Rows()> show) { work_ = std::move(show); }

  [[nodiscard]] std::string handle(std::uint64_t peer, bool trusted, const std::string& command);
  void disconnected(std::uint64_t peer) { known_.erase(peer); }
  // Warnings, for `show errors`: the last hundred.
  void record_warning(const std::string& event,
                      const std::vector<std::pair<std::string, std::string>>& fields);

  // Names of commands that begin with `start`; for completion.
  [[nodiscard]] static std::vector<std::string> complete(const std::string& start);

 private:
  [[nodiscard]] std::string show(const std::vector<std::string>& words, bool json);
  [[nodiscard]] std::string order(const std::vector<std::string>& words);

  const coordinator::Coordinator& core_;
  std::function<std::string(coordinator::OperatorCommand)> order_;
  std::function<std::vector<Driver::Status>()> forwarders_;
  std::function<Rows()> cluster_, work_;
  std::function<std::string()> hand_over_;
  std::string token_;
  std::set<std::uint64_t> known_;  // peers that gave the token
  std::deque<std::vector<std::pair<std::string, std::string>>> errors_;
};

}  // namespace gorsemount::runtime_api
