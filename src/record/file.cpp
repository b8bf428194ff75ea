#include "record/file.hpp"

#include <hdf5.h>

#include <algorithm>
#include <filesystem>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

namespace gorsemount::record {

namespace {

constexpr hsize_t kChunkRows = 8192;
constexpr hsize_t kChunkBytes = 64U << 10U;
constexpr unsigned kDeflateLevel = 4;  // higher levels shrink files of loopback days by less than 2%

// Owns an HDF5 handle.
class Handle {
 public:
  Handle() = default;
  Handle(hid_t id, herr_t (*close)(hid_t)) : id_{id}, close_{close} {}
  Handle(Handle&& o) noexcept : id_{std::exchange(o.id_, -1)}, close_{o.close_} {}
  Handle& operator=(Handle&& o) noexcept {
    std::swap(id_, o.id_), std::swap(close_, o.close_);
    return *this;
  }
  ~Handle() {
    if (id_ >= 0) close_(id_);
  }
  [[nodiscard]] hid_t get() const { return id_; }
  explicit operator bool() const { return id_ >= 0; }

 private:
  hid_t id_ = -1;
  herr_t (*close_)(hid_t) = nullptr;
};

template <class T>
hid_t type_of();
template <>
hid_t type_of<std::int64_t>() {
  return H5T_STD_I64LE;
}
template <>
hid_t type_of<std::uint64_t>() {
  return H5T_STD_U64LE;
}
template <>
hid_t type_of<std::uint32_t>() {
  return H5T_STD_U32LE;
}
template <>
hid_t type_of<std::uint16_t>() {
  return H5T_STD_U16LE;
}
template <>
hid_t type_of<std::uint8_t>() {
  return H5T_STD_U8LE;
}

[[noreturn]] void fail(const std::string& file, const std::string& what) {
  throw std::runtime_error{file + ": " + what};
}

// An append-only column. Rows are buffered until a chunk is full or the column is flushed.
template <class T>
class Column {
 public:
  Column(hid_t file, const std::string& path, hsize_t chunk) : path_{path}, chunk_{chunk} {
    const hsize_t none = 0, any = H5S_UNLIMITED;
    const Handle space{H5Screate_simple(1, &none, &any), H5Sclose};
    const Handle properties{H5Pcreate(H5P_DATASET_CREATE), H5Pclose},
        links{H5Pcreate(H5P_LINK_CREATE), H5Pclose};
    H5Pset_create_intermediate_group(links.get(), 1);
    H5Pset_chunk(properties.get(), 1, &chunk);
    if (sizeof(T) > 1) H5Pset_shuffle(properties.get());
    H5Pset_deflate(properties.get(), kDeflateLevel);
    H5Pset_fletcher32(properties.get());
    dataset_ = Handle{
        H5Dcreate2(file, path.c_str(), type_of<T>(), space.get(), links.get(), properties.get(), H5P_DEFAULT),
        H5Dclose};
    if (!dataset_) throw std::runtime_error{path + " can't be created"};
  }
  void add(T value) {
    buffered_.push_back(value);
    if (buffered_.size() >= chunk_) write();
  }
  void add(const std::string& bytes) requires std::is_same_v<T, std::uint8_t> {
    buffered_.insert(buffered_.end(), bytes.begin(), bytes.end());
    if (buffered_.size() >= chunk_) write();
  }
  [[nodiscard]] std::uint64_t size() const { return written_ + buffered_.size(); }
  void write() {
    if (buffered_.empty()) return;
    const hsize_t from = written_, n = buffered_.size(), all = from + n;
    if (H5Dset_extent(dataset_.get(), &all) < 0) throw std::runtime_error{path_ + " can't be extended"};
    const Handle there{H5Dget_space(dataset_.get()), H5Sclose},
        here{H5Screate_simple(1, &n, nullptr), H5Sclose};
    H5Sselect_hyperslab(there.get(), H5S_SELECT_SET, &from, nullptr, &n, nullptr);
    if (H5Dwrite(dataset_.get(), type_of<T>(), here.get(), there.get(), H5P_DEFAULT, buffered_.data()) < 0)
      throw std::runtime_error{path_ + " can't be written"};
    written_ = all;
    buffered_.clear();
  }
  void flush() {
    write();
    if (H5Dflush(dataset_.get()) < 0) throw std::runtime_error{path_ + " can't be flushed"};
  }

 private:
  std::string path_;
  hsize_t chunk_, written_ = 0;
  Handle dataset_;
  std::vector<T> buffered_;
};

void disable_hdf5_error_output() { H5Eset_auto2(H5E_DEFAULT, nullptr, nullptr); }

void write_attribute(hid_t file, const char* name, std::int64_t value) {
  const Handle space{H5Screate(H5S_SCALAR), H5Sclose};
  const Handle a{H5Acreate2(file, name, H5T_STD_I64LE, space.get(), H5P_DEFAULT, H5P_DEFAULT), H5Aclose};
  H5Awrite(a.get(), H5T_NATIVE_INT64, &value);
}

}  // namespace

struct Writer::State {
  State(const std::string& name, const Header& h) : file_name{name}, file{open(name)} {
    write_attribute(file.get(), "schema", h.schema),
        write_attribute(file.get(), "began_wall_us", h.began_wall);
    settings.add(h.settings), day.add(h.day);
    names.add(nlohmann::json{{"kind", "coordinator"}, {"number", 0}, {"name", h.name}}.dump() + "\n");
    if (H5Fstart_swmr_write(file.get()) < 0) fail(name, "can't be switched to SWMR mode");
    flush();
  }
  static Handle open(const std::string& name) {
    disable_hdf5_error_output();
    const Handle properties{H5Pcreate(H5P_FILE_ACCESS), H5Pclose};
    H5Pset_libver_bounds(properties.get(), H5F_LIBVER_V110, H5F_LIBVER_V110);
    Handle made{H5Fcreate(name.c_str(), H5F_ACC_TRUNC, H5P_DEFAULT, properties.get()), H5Fclose};
    if (!made) fail(name, "can't be created");
    return made;
  }
  void flush() {
    try {
      // Bytes are flushed before the rows that refer to them.
      inputs.flush(), orders.flush(), settings.flush(), day.flush(), names.flush(), missing.flush();
      t.flush(), inputs_end.flush(), orders_end.flush(), digest.flush();
      came.flush(), took.flush(), operation.flush(), proxy.flush(), worker.flush(), outcome.flush(),
          tries.flush();
    } catch (const std::exception& fault) {
      fail(file_name, fault.what());
    }
  }

  std::string file_name;
  Handle file;
  Column<std::int64_t> t{file.get(), "/steps/t", kChunkRows};
  Column<std::uint64_t> inputs_end{file.get(), "/steps/inputs_end", kChunkRows},
      orders_end{file.get(), "/steps/orders_end", kChunkRows},
      digest{file.get(), "/steps/digest", kChunkRows};
  Column<std::uint8_t> inputs{file.get(), "/inputs", kChunkBytes}, orders{file.get(), "/orders", kChunkBytes};
  Column<std::int64_t> came{file.get(), "/invocations/came", kChunkRows};
  Column<std::uint32_t> took{file.get(), "/invocations/took", kChunkRows};
  Column<std::uint8_t> operation{file.get(), "/invocations/operation", kChunkRows},
      outcome{file.get(), "/invocations/outcome", kChunkRows},
      tries{file.get(), "/invocations/tries", kChunkRows};
  Column<std::uint16_t> proxy{file.get(), "/invocations/proxy", kChunkRows},
      worker{file.get(), "/invocations/worker", kChunkRows};
  Column<std::uint8_t> settings{file.get(), "/text/settings", kChunkBytes},
      day{file.get(), "/text/day", kChunkBytes}, names{file.get(), "/text/names", kChunkBytes},
      missing{file.get(), "/text/missing", kChunkBytes};
  std::uint64_t bytes = 0;
  std::int64_t last_came = 0;
};

Writer::Writer(const std::string& file, const Header& header)
    : state_{std::make_unique<State>(file, header)} {}
Writer::~Writer() {
  try {
    state_->flush();
  } catch (const std::exception&) {
    // A destructor can't report it; explicit flushes throw.
  }
}

void Writer::step(const StepRow& row) {
  State& s = *state_;
  s.inputs.add(row.inputs), s.orders.add(row.orders);
  s.t.add(row.t), s.inputs_end.add(s.inputs.size()), s.orders_end.add(s.orders.size()),
      s.digest.add(row.digest);
  s.bytes += 32 + row.inputs.size() + row.orders.size();
}

// Times are stored in units of 0.1 ms, and start times as differences, because that compresses well.
// Latencies are not measured more precisely.
void Writer::invocation(const InvocationRow& row) {
  State& s = *state_;
  const std::int64_t came = row.came / 100;
  s.came.add(came - std::exchange(s.last_came, came)), s.took.add(row.took / 100);
  s.operation.add(row.operation), s.proxy.add(row.proxy), s.worker.add(row.worker),
      s.outcome.add(row.outcome), s.tries.add(row.tries);
  s.bytes += 19;
}

void Writer::name(const std::string& kind, std::size_t number, const std::string& name) {
  state_->names.add(nlohmann::json{{"kind", kind}, {"number", number}, {"name", name}}.dump() + "\n");
}
void Writer::missing(const std::string& what, std::uint64_t n) {
  state_->missing.add(nlohmann::json{{"what", what}, {"count", n}}.dump() + "\n");
}
void Writer::flush() { state_->flush(); }
std::uint64_t Writer::bytes() const { return state_->bytes; }

namespace {

class Reader {
 public:
  Reader(std::string name, std::uint64_t most) : name_{std::move(name)}, remaining_bytes_{most} {
    disable_hdf5_error_output();
    // The file may still be open for writing, or its writer may have crashed.
    const Handle properties{H5Pcreate(H5P_FILE_ACCESS), H5Pclose};
    H5Pset_metadata_read_attempts(properties.get(), 1);  // a retry does not repair a damaged file
    file_ = Handle{H5Fopen(name_.c_str(), H5F_ACC_RDONLY | H5F_ACC_SWMR_READ, properties.get()), H5Fclose};
    if (!file_) file_ = Handle{H5Fopen(name_.c_str(), H5F_ACC_RDONLY, H5P_DEFAULT), H5Fclose};
    if (!file_) fail(name_, "not an HDF5 file, or truncated within its header");
  }
  [[nodiscard]] std::int64_t number(const char* name) const {
    const Handle a{H5Aopen(file_.get(), name, H5P_DEFAULT), H5Aclose};
    std::int64_t value = 0;
    if (!a || H5Aread(a.get(), H5T_NATIVE_INT64, &value) < 0)
      fail(name_, std::string{"attribute '"} + name + "' is missing");
    return value;
  }
  template <class T>
  std::vector<T> column(const std::string& path, bool required = true) {
    const Handle dataset{H5Dopen2(file_.get(), path.c_str(), H5P_DEFAULT), H5Dclose};
    if (!dataset) {
      if (required) fail(name_, "column " + path + " is missing");
      return {};
    }
    const Handle space{H5Dget_space(dataset.get()), H5Sclose};
    hsize_t n = 0;
    if (H5Sget_simple_extent_ndims(space.get()) != 1)
      fail(name_, "column " + path + " is not one-dimensional");
    H5Sget_simple_extent_dims(space.get(), &n, nullptr);
    if (n > remaining_bytes_ / sizeof(T))
      fail(name_,
           "column " + path + " declares " + std::to_string(n) + " rows, which exceeds the memory limit");
    remaining_bytes_ -= n * sizeof(T);
    std::vector<T> rows;
    // Read in parts, so that the position of damage can be reported.
    constexpr hsize_t kPart = 1U << 16U;
    for (hsize_t from = 0; from < n; from += kPart) {
      const hsize_t part = std::min(kPart, n - from);
      rows.resize(from + part);
      H5Sselect_hyperslab(space.get(), H5S_SELECT_SET, &from, nullptr, &part, nullptr);
      const Handle here{H5Screate_simple(1, &part, nullptr), H5Sclose};
      if (H5Dread(dataset.get(), type_of<T>(), here.get(), space.get(), H5P_DEFAULT, rows.data() + from) < 0)
        fail(name_, "column " + path + ", rows " + std::to_string(from) + " to " +
                        std::to_string(from + part - 1) + ": damaged (checksum or compression)");
    }
    return rows;
  }
  std::string text(const std::string& path) {
    const auto bytes = column<std::uint8_t>(path);
    return {bytes.begin(), bytes.end()};
  }

 private:
  std::string name_;
  std::uint64_t remaining_bytes_;
  Handle file_;
};

}  // namespace

Recording read(const std::string& file, std::uint64_t max_bytes) {
  std::error_code none;
  Recording r;
  r.size = std::filesystem::file_size(file, none);
  if (none) fail(file, "can't be read: " + none.message());
  Reader in{file, max_bytes};
  const std::int64_t schema = in.number("schema");
  if (schema < kOldestSchema || schema > kSchema)
    fail(file, "schema " + std::to_string(schema) + "; this program reads " + std::to_string(kOldestSchema) +
                   " to " + std::to_string(kSchema));
  r.header.schema = static_cast<int>(schema), r.header.began_wall = in.number("began_wall_us");
  r.header.settings = in.text("/text/settings"), r.header.day = in.text("/text/day");
  std::istringstream names{in.text("/text/names")};
  std::size_t place = 0;
  for (std::string line; std::getline(names, line); ++place) {
    const auto j = nlohmann::json::parse(line, nullptr, false);
    if (!j.is_object() || !j.value("name", nlohmann::json{}).is_string() ||
        !j.value("number", nlohmann::json{}).is_number_unsigned()) {
      if (names.eof()) break;  // the last line is incomplete
      fail(file, "/text/names, line " + std::to_string(place + 1) + ": not a name");
    }
    const std::string kind = j.value("kind", "");
    const auto number = j.value("number", std::size_t{0});
    if (number > 65535)
      fail(file, "/text/names, line " + std::to_string(place + 1) + ": number out of range");
    if (kind == "coordinator") r.header.name = j.value("name", "");
    auto* list = kind == "proxy"       ? &r.proxies
                 : kind == "worker"    ? &r.workers
                 : kind == "operation" ? &r.operations
                                       : nullptr;
    if (list == nullptr) continue;
    if (list->size() <= number) list->resize(number + 1);
    (*list)[number] = j.value("name", "");
  }
  std::istringstream missing{in.text("/text/missing")};
  for (std::string line; std::getline(missing, line);) r.missing.push_back(line);
  {
    const auto t = in.column<std::int64_t>("/steps/t");
    const auto inputs_end = in.column<std::uint64_t>("/steps/inputs_end"),
               orders_end = in.column<std::uint64_t>("/steps/orders_end"),
               digest = in.column<std::uint64_t>("/steps/digest");
    const std::string inputs = in.text("/inputs"), orders = in.text("/orders");
    const std::size_t n = std::min({t.size(), inputs_end.size(), orders_end.size(), digest.size()});
    r.cut = n < std::max({t.size(), inputs_end.size(), orders_end.size(), digest.size()});
    std::uint64_t i = 0, o = 0;
    for (std::size_t k = 0; k < n; ++k) {
      if (inputs_end[k] < i || orders_end[k] < o)
        fail(file, "/steps, row " + std::to_string(k) + ": end offset lies before that of the previous row");
      if (inputs_end[k] > inputs.size() || orders_end[k] > orders.size()) {
        r.cut = true;
        break;
      }
      r.steps.push_back(
          {t[k], digest[k], inputs.substr(i, inputs_end[k] - i), orders.substr(o, orders_end[k] - o)});
      i = inputs_end[k], o = orders_end[k];
    }
  }
  const auto came = in.column<std::int64_t>("/invocations/came");
  const auto took = in.column<std::uint32_t>("/invocations/took");
  const auto operation = in.column<std::uint8_t>("/invocations/operation"),
             outcome = in.column<std::uint8_t>("/invocations/outcome");
  const auto tries = in.column<std::uint8_t>("/invocations/tries", schema >= 2);
  const auto proxy = in.column<std::uint16_t>("/invocations/proxy"),
             worker = in.column<std::uint16_t>("/invocations/worker");
  const std::size_t n = std::min({came.size(), took.size(), operation.size(), outcome.size(), proxy.size(),
                                  worker.size(), schema >= 2 ? tries.size() : came.size()});
  r.cut = r.cut || n < came.size();
  std::int64_t at = 0;
  for (std::size_t k = 0; k < n; ++k) {
    at += came[k];
    if (outcome[k] > static_cast<std::uint8_t>(Outcome::open) || at < -(1LL << 50U) || at > 1LL << 50U)
      fail(file, "/invocations, row " + std::to_string(k) + ": value out of range");
    r.invocations.push_back({at * 100, took[k] * 100, operation[k], outcome[k],
                             schema >= 2 ? tries[k] : std::uint8_t{1}, proxy[k], worker[k]});
  }
  return r;
}

}  // namespace gorsemount::record
