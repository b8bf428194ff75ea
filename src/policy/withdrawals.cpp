#include "policy/withdrawals.hpp"

#include <algorithm>

namespace gorsemount {

void Withdrawals::withdraw(BackendId backend) {
  const auto [entry, inserted] = entries_.try_emplace(backend);
  if (inserted) entry->second.number = ++last_number_;
  entry->second.gone_since.reset();
}

void Withdrawals::withdraw_gone(Instant now, BackendId backend) {
  withdraw(backend);
  entries_.at(backend).gone_since = now;
}

void Withdrawals::forget_expired(Instant now) {
  std::erase_if(entries_, [now](const auto& item) {
    const auto& gone_since = item.second.gone_since;
    return gone_since && now - *gone_since > Span::seconds(kRetentionSeconds);
  });
}

std::vector<BackendId> Withdrawals::after(std::uint64_t number) const {
  std::vector<BackendId> backends;
  for (const auto& [backend, entry] : entries_)
    if (entry.number > number) backends.push_back(backend);
  return backends;
}

std::size_t Withdrawals::count_after(std::uint64_t number) const {
  const auto is_later = [number](const auto& item) { return item.second.number > number; };
  return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), is_later));
}

}  // namespace gorsemount
