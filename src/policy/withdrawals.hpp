// The backends that proxies must stop using, as far back as the table that a proxy brings along may still
// name them: those listed as draining, and those that have left the list.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/ids.hpp"
#include "core/time.hpp"

namespace gorsemount {

class Withdrawals {
 public:
  // A backend drains. Has no effect if it is withdrawn already.
  void withdraw(BackendId backend);
  // A backend has left the list. Forgotten after kRetentionSeconds: proxies have heard of it by then.
  void withdraw_gone(Instant now, BackendId backend);
  // A backend is ready again.
  void restore(BackendId backend) { entries_.erase(backend); }
  void forget_expired(Instant now);

  // Withdrawals are numbered from 1. Numbers of one backend that was ready in between differ.
  [[nodiscard]] std::uint64_t last_number() const { return last_number_; }
  [[nodiscard]] std::vector<BackendId> after(std::uint64_t number) const;
  [[nodiscard]] std::size_t count_after(std::uint64_t number) const;

 private:
  struct Entry {
    std::uint64_t number = 0;
    std::optional<Instant> gone_since;
  };
  static constexpr double kRetentionSeconds = 20;

  std::map<BackendId, Entry> entries_;
  std::uint64_t last_number_ = 0;
};

}  // namespace gorsemount
