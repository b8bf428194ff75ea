// Health checks and load polls of a list of backends, over two keep-alive connections to each, spread evenly
// over the interval. Results are reported as they come; the coordinator interprets them.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "coordinator/types.hpp"
#include "net/http.hpp"

namespace gorsemount::probes {

struct ProberSettings {
  std::string health_path, load_path;
  Span health_interval, health_retry_interval, health_timeout, load_interval, load_timeout;
  std::vector<coordinator::OperationInfo> operations;
};

class Prober {
 public:
  using Report = std::function<void(coordinator::Input)>;
  Prober(net::Loop& loop, ProberSettings settings, Report report);
  ~Prober();
  Prober(const Prober&) = delete;
  Prober& operator=(const Prober&) = delete;

  // Replaces the list: starts to probe new backends and stops probing those that are no longer listed.
  void set_backends(const std::map<BackendId, Endpoint>& backends);

 private:
  struct Target;
  void check_health(BackendId id);
  void schedule_health_check(BackendId id, Span delay);
  void poll_load(BackendId id);

  net::Loop& loop_;
  ProberSettings settings_;
  Report report_;
  std::map<BackendId, std::unique_ptr<Target>> targets_;
};

}  // namespace gorsemount::probes
