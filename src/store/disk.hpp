// The file operations that a store needs, as an interface, so that tests can inject lost, torn and corrupted
// writes. Every call may throw DiskError.
#pragma once

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace gorsemount::store {

class DiskError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Disk {
 public:
  virtual ~Disk() = default;
  virtual void create(const std::string& name) = 0;  // empty, replacing any file of that name
  virtual void append(const std::string& name, std::string_view bytes) = 0;
  virtual void sync(const std::string& name) = 0;  // afterwards its content survives a power failure
  virtual void rename(const std::string& from, const std::string& to) = 0;
  virtual void sync_directory() = 0;                 // afterwards renames survive a power failure
  virtual void remove(const std::string& name) = 0;  // no error if it does not exist
  [[nodiscard]] virtual std::vector<std::string> list() = 0;
  [[nodiscard]] virtual std::string read(const std::string& name) = 0;
  // At most `max_bytes` from `offset`; empty at the end. Safe from any thread, concurrently with other calls.
  [[nodiscard]] virtual std::string read_range(const std::string& name, std::size_t offset,
                                               std::size_t max_bytes) {
    return read(name).substr(offset, max_bytes);
  }
};

// A directory of the file system, created if missing. Locked against other processes unless it is read-only;
// throws DiskError if another process holds the lock.
[[nodiscard]] std::unique_ptr<Disk> open_directory(const std::string& path, bool read_only = false);

}  // namespace gorsemount::store
