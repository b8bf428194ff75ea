// Hosts many instances of the module behind the bench's wire: one batch in, one reply out.
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
  // Throws FieldError (or the JSON library's parse error) on what it can't read.
  [[nodiscard]] std::string process_batch(const std::string& line);

 private:
  struct Instance {
    std::optional<Policy> policy;  // absent: the module failed to start
    std::string fault;
    std::vector<Event> pending;  // of the batch at hand
  };
  using Bank = std::vector<BackendListUpdate::Entry>;

  void take(const Json& item, std::size_t place);
  void answer(Instant now, std::uint64_t id, Instance& instance, Json& output);

  std::map<std::uint64_t, Instance> instances_;
  std::array<std::optional<Bank>, 16> banks_;
};

}  // namespace gorsemount::simhost
