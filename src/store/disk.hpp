// What a store needs of a disk, so that tests can put one in its place that loses, tears and bends. Every
// call may throw DiskError.
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
  virtual void create(const std::string& name) = 0;  // empty, in place of any of that name
  virtual void append(const std::string& name, std::string_view bytes) = 0;
  virtual void sync(const std::string& name) = 0;  // its bytes outlast a loss of power
  virtual void rename(const std::string& from, const std::string& to) = 0;
  virtual void sync_directory() = 0;                 // names outlast it too
  virtual void remove(const std::string& name) = 0;  // of one that is not there: nothing
  [[nodiscard]] virtual std::vector<std::string> list() = 0;
  [[nodiscard]] virtual std::string read(const std::string& name) = 0;
  // At most `most` bytes from a place on; empty at the end. From any thread, beside all else.
  [[nodiscard]] virtual std::string read_range(const std::string& name, std::size_t from, std::size_t most) {
    return read(name).substr(from, most);
  }
};

// A folder of a real disk, made if it is not there. Locked against a second process; throws DiskError if it
// is.
[[nodiscard]] std::unique_ptr<Disk> open_directory(const std::string& folder, bool only_read = false);

}  // namespace gorsemount::store
