#include "store/disk.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <map>

namespace gorsemount::store {

namespace {

constexpr std::size_t kReadMost = 512U << 20U;  // no store of ours comes near

class Folder : public Disk {
 public:
  Folder(std::string folder, bool only_read) : folder_{std::move(folder)} {
    if (!only_read && ::mkdir(folder_.c_str(), 0700) != 0 && errno != EEXIST) fail("can't be made");
    dir_ = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (dir_ < 0) fail("can't be opened");
    if (only_read) return;
    lock_ = ::openat(dir_, "lock", O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (lock_ < 0) fail("lock can't be made");
    if (::flock(lock_, LOCK_EX | LOCK_NB) != 0) fail("another process has it");
  }
  ~Folder() override {
    for (const auto& [name, fd] : open_) ::close(fd);
    if (lock_ >= 0) ::close(lock_);
    if (dir_ >= 0) ::close(dir_);
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  void create(const std::string& name) override {
    forget(name);
    const int fd = ::openat(dir_, name.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
    if (fd < 0) fail(name + " can't be made");
    open_[name] = fd;
  }
  void append(const std::string& name, std::string_view bytes) override {
    const int fd = file(name);
    while (!bytes.empty()) {
      const ssize_t n = ::write(fd, bytes.data(), bytes.size());
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) fail(name + " can't be written");
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
  }
  void sync(const std::string& name) override {
    if (::fdatasync(file(name)) != 0) fail(name + " can't be synced");
  }
  void rename(const std::string& from, const std::string& to) override {
    forget(to);
    if (::renameat(dir_, from.c_str(), dir_, to.c_str()) != 0) fail(from + " can't be renamed");
    if (const auto it = open_.find(from); it != open_.end()) {
      open_[to] = it->second;
      open_.erase(from);
    }
  }
  void sync_directory() override {
    if (::fsync(dir_) != 0) fail("can't be synced");
  }
  void remove(const std::string& name) override {
    forget(name);
    if (::unlinkat(dir_, name.c_str(), 0) != 0 && errno != ENOENT) fail(name + " can't be removed");
  }
  std::vector<std::string> list() override {
    std::vector<std::string> names;
    const int fd = ::openat(dir_, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    DIR* d = fd < 0 ? nullptr : ::fdopendir(fd);
    if (d == nullptr) fail("can't be listed");
    while (const dirent* e = ::readdir(d))
      if (e->d_name[0] != '.' && std::strcmp(e->d_name, "lock") != 0) names.emplace_back(e->d_name);
    ::closedir(d);
    return names;
  }
  std::string read(const std::string& name) override {
    const int fd = ::openat(dir_, name.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) fail(name + " can't be read");
    std::string text;
    std::array<char, 65536> part;
    for (ssize_t n = 0; (n = ::read(fd, part.data(), part.size())) != 0;) {
      if (n < 0 && errno == EINTR) continue;
      if (n < 0 || text.size() > kReadMost) {
        ::close(fd);
        fail(name + (n < 0 ? " can't be read" : " is larger than any store"));
      }
      text.append(part.data(), static_cast<std::size_t>(n));
    }
    ::close(fd);
    return text;
  }

  std::string read_range(const std::string& name, std::size_t from, std::size_t most) override {
    const int fd = ::openat(dir_, name.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) fail(name + " can't be read");
    std::string text(most, '\0');
    std::size_t got = 0;
    while (got < most) {
      const ssize_t n = ::pread(fd, text.data() + got, most - got, static_cast<off_t>(from + got));
      if (n < 0 && errno == EINTR) continue;
      if (n < 0) {
        ::close(fd);
        fail(name + " can't be read");
      }
      if (n == 0) break;
      got += static_cast<std::size_t>(n);
    }
    ::close(fd);
    text.resize(got);
    return text;
  }

 private:
  [[noreturn]] void fail(const std::string& what) const {
    throw DiskError{folder_ + ": " + what + (errno != 0 ? std::string{": "} + std::strerror(errno) : "")};
  }
  int file(const std::string& name) {
    if (const auto it = open_.find(name); it != open_.end()) return it->second;
    const int fd = ::openat(dir_, name.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    if (fd < 0) fail(name + " can't be opened");
    return open_[name] = fd;
  }
  void forget(const std::string& name) {
    if (const auto it = open_.find(name); it != open_.end()) ::close(it->second), open_.erase(it);
  }

  std::string folder_;
  int dir_ = -1, lock_ = -1;
  std::map<std::string, int> open_;
};

}  // namespace

std::unique_ptr<Disk> open_directory(const std::string& folder, bool only_read) {
  return std::make_unique<Folder>(folder, only_read);
}

}  // namespace gorsemount::store
