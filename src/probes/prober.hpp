// Asks each backend of a list for its health and its load, on two kept connections each, spread evenly over
// the interval. It reports what came and judges nothing.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "coordinator/types.hpp"
#include "net/http.hpp"

namespace gorsemount::probes {

struct ProberSettings {
  std::string health_path, load_path;
  Span health_every, health_again, health_timeout, load_every, load_timeout;
  std::vector<coordinator::OperationInfo> operations;
};

class Prober {
 public:
  using Report = std::function<void(coordinator::Input)>;
  Prober(net::Loop& loop, ProberSettings settings, Report report);
  ~Prober();
  Prober(const Prober&) = delete;
  Prober& operator=(const Prober&) = delete;

  // Follows the list: asks whoever is new, forgets whoever is not in it.
  void set_backends(const std::map<BackendId, Endpoint>& backends);

 private:
  struct Asked;
  void health(BackendId id);
  void health_in(BackendId id, Span wait);
  void load(BackendId id);

  net::Loop& loop_;
  ProberSettings s_;
  Report report_;
  std::map<BackendId, std::unique_ptr<Asked>> asked_;
};

}  // namespace gorsemount::probes
