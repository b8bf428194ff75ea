// RAII owner of a file descriptor.
#pragma once

#include <unistd.h>

#include <utility>

namespace gorsemount::net {

class Fd {
 public:
  Fd() = default;
  explicit Fd(int fd) : fd_{fd} {}
  Fd(Fd&& other) noexcept : fd_{std::exchange(other.fd_, -1)} {}
  Fd& operator=(Fd&& other) noexcept {
    if (this != &other) reset(), fd_ = std::exchange(other.fd_, -1);
    return *this;
  }
  ~Fd() { reset(); }
  void reset() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  [[nodiscard]] int get() const { return fd_; }
  [[nodiscard]] explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

}  // namespace gorsemount::net
