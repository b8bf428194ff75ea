// Accounts for the memory of all input and output buffers of an event loop's connections. Beyond its limit it
// closes connections, in a stated order: first whoever holds most bytes of an unfinished message, as long as
// that is more than kMinUnfinishedBytes; then whoever has most output unread. So peers that send whole
// messages and read what they get are not affected.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

namespace gorsemount::net {

class BufferAccount {
 public:
  // A connection's part in the account. Amounts are in bytes.
  class Holder {
   public:
    Holder() = default;
    Holder(const Holder&) = delete;
    Holder& operator=(const Holder&) = delete;
    virtual ~Holder() = default;

    [[nodiscard]] virtual std::size_t unfinished_input_bytes() const = 0;
    [[nodiscard]] virtual std::size_t unread_output_bytes() const = 0;
    // Closes the connection, which releases its buffers and removes the holder.
    virtual void close_over_limit() = 0;

   private:
    friend class BufferAccount;
    std::size_t held_ = 0;
    std::uint64_t number_ = 0;  // 0: not in the account
  };

  // A message as long as this is not cut off, even half sent: joins and reports are shorter.
  static constexpr std::size_t kMinUnfinishedBytes = 4096;
  static constexpr std::size_t kDefaultLimit = 256U << 20U;

  void set_limit(std::size_t bytes) { limit_ = bytes; }
  [[nodiscard]] std::size_t limit() const { return limit_; }
  [[nodiscard]] std::size_t held() const { return held_; }
  [[nodiscard]] std::uint64_t closed_connections() const { return closed_connections_; }

  // `bytes`: the memory that the holder's buffers take now, used or not. May close this holder or others.
  void update(Holder& holder, std::size_t bytes);
  void remove(Holder& holder);

 private:
  [[nodiscard]] Holder* choose_to_close() const;

  std::map<std::uint64_t, Holder*> holders_;  // by number; the oldest of equals is closed
  std::uint64_t last_number_ = 0;
  std::size_t limit_ = kDefaultLimit, held_ = 0;
  std::uint64_t closed_connections_ = 0;
};

}  // namespace gorsemount::net
