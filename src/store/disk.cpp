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

constexpr std::size_t kMaxReadBytes = 512U << 20U;  // far above the size of any store

class DirectoryDisk : public Disk {
 public:
  DirectoryDisk(std::string path, bool read_only) : path_{std::move(path)} {
    if (!read_only && ::mkdir(path_.c_str(), 0700) != 0 && errno != EEXIST) fail("cannot be created");
    directory_fd_ = ::open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (directory_fd_ < 0) fail("cannot be opened");
    if (read_only) return;
    lock_fd_ = ::openat(directory_fd_, "lock", O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (lock_fd_ < 0) fail("lock file cannot be created");
    if (::flock(lock_fd_, LOCK_EX | LOCK_NB) != 0) fail("locked by another process");
  }
  ~DirectoryDisk() override {
    for (const auto& [name, fd] : open_files_) ::close(fd);
    if (lock_fd_ >= 0) ::close(lock_fd_);
    if (directory_fd_ >= 0) ::close(directory_fd_);
  }
  DirectoryDisk(const DirectoryDisk&) = delete;
  DirectoryDisk& operator=(const DirectoryDisk&) = delete;

  void create(const std::string& name) override {
    close_file(name);
    const int fd =
        ::openat(directory_fd_, name.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
    if (fd < 0) fail(name + " cannot be created");
    open_files_[name] = fd;
  }
  void append(const std::string& name, std::string_view bytes) override {
    const int fd = open_file(name);
    while (!bytes.empty()) {
      const ssize_t n = ::write(fd, bytes.data(), bytes.size());
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) fail(name + " cannot be written");
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
  }
  void sync(const std::string& name) override {
    if (::fdatasync(open_file(name)) != 0) fail(name + " cannot be synced");
  }
  void rename(const std::string& from, const std::string& to) override {
    close_file(to);
    if (::renameat(directory_fd_, from.c_str(), directory_fd_, to.c_str()) != 0)
      fail(from + " cannot be renamed");
    if (const auto it = open_files_.find(from); it != open_files_.end()) {
      open_files_[to] = it->second;
      open_files_.erase(from);
    }
  }
  void sync_directory() override {
    if (::fsync(directory_fd_) != 0) fail("cannot be synced");
  }
  void remove(const std::string& name) override {
    close_file(name);
    if (::unlinkat(directory_fd_, name.c_str(), 0) != 0 && errno != ENOENT) fail(name + " cannot be removed");
  }
  std::vector<std::string> list() override {
    std::vector<std::string> names;
    const int fd = ::openat(directory_fd_, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    DIR* directory = fd < 0 ? nullptr : ::fdopendir(fd);
    if (directory == nullptr) fail("cannot be listed");
    while (const dirent* entry = ::readdir(directory))
      if (entry->d_name[0] != '.' && std::strcmp(entry->d_name, "lock") != 0)
        names.emplace_back(entry->d_name);
    ::closedir(directory);
    return names;
  }
  std::string read(const std::string& name) override {
    const int fd = ::openat(directory_fd_, name.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) fail(name + " cannot be read");
    std::string text;
    std::array<char, 65536> buffer;
    for (ssize_t n = 0; (n = ::read(fd, buffer.data(), buffer.size())) != 0;) {
      if (n < 0 && errno == EINTR) continue;
      if (n < 0 || text.size() > kMaxReadBytes) {
        ::close(fd);
        fail(name + (n < 0 ? " cannot be read" : " is larger than the limit for a store"));
      }
      text.append(buffer.data(), static_cast<std::size_t>(n));
    }
    ::close(fd);
    return text;
  }

  std::string read_range(const std::string& name, std::size_t offset, std::size_t max_bytes) override {
    const int fd = ::openat(directory_fd_, name.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) fail(name + " cannot be read");
    std::string text(max_bytes, '\0');
    std::size_t filled = 0;
    while (filled < max_bytes) {
      const ssize_t n =
          ::pread(fd, text.data() + filled, max_bytes - filled, static_cast<off_t>(offset + filled));
      if (n < 0 && errno == EINTR) continue;
      if (n < 0) {
        ::close(fd);
        fail(name + " cannot be read");
      }
      if (n == 0) break;
      filled += static_cast<std::size_t>(n);
    }
    ::close(fd);
    text.resize(filled);
    return text;
  }

 private:
  [[noreturn]] void fail(const std::string& message) const {
    throw DiskError{path_ + ": " + message + (errno != 0 ? std::string{": "} + std::strerror(errno) : "")};
  }
  int open_file(const std::string& name) {
    if (const auto it = open_files_.find(name); it != open_files_.end()) return it->second;
    const int fd = ::openat(directory_fd_, name.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    if (fd < 0) fail(name + " cannot be opened");
    return open_files_[name] = fd;
  }
  void close_file(const std::string& name) {
    if (const auto it = open_files_.find(name); it != open_files_.end())
      ::close(it->second), open_files_.erase(it);
  }

  std::string path_;
  int directory_fd_ = -1, lock_fd_ = -1;
  std::map<std::string, int> open_files_;
};

}  // namespace

std::unique_ptr<Disk> open_directory(const std::string& path, bool read_only) {
  return std::make_unique<DirectoryDisk>(path, read_only);
}

}  // namespace gorsemount::store
