// Runs several instances of the decision module for the simulator: one JSON batch in, one JSON reply out.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "simhost/wire.hpp"

namespace gorsemount::simhost {

class Host {
 public:
  // Throws FieldError or the JSON library's parse error on malformed input.
  [[nodiscard]] std::string process_batch(const std::string& line);

 private:
  struct Instance {
    std::optional<Policy> policy;  // empty: the module failed to start
    std::string start_error;
    std::vector<Event> pending;  // events of the current batch
  };
  using BackendList = std::vector<BackendListUpdate::Entry>;

  void apply(const Json& item, std::size_t index);
  void run(Instant now, std::uint64_t id, Instance& instance, Json& output);

  std::map<std::uint64_t, Instance> instances_;
  std::array<std::optional<BackendList>, 16> backend_lists_;
};

}  // namespace gorsemount::simhost
