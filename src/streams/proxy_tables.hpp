// Tracks the routing table of each proxy and encodes the orders of one step as at most one update per proxy.
// An update that several proxies receive is encoded once.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "policy/policy.hpp"
#include "streams/message.hpp"

namespace gorsemount::streams {

class ProxyTables {
 public:
  struct Delivery {
    ProxyId proxy;
    std::shared_ptr<const EncodedMessage> message;
  };
  using BackendName = std::function<std::string_view(BackendId)>;  // empty: not known any more

  ProxyTables(std::vector<std::string> operations, BackendName backend_name)
      : operations_{std::move(operations)}, backend_name_{std::move(backend_name)} {}

  void remove_proxy(ProxyId proxy) { bindings_.erase(proxy); }  // its next stream starts without a table
  // Returns the messages in the order in which they are to be written: first those that remove backends from
  // tables that proxies brought along, then changes of tables, and last whole tables, which take longest.
  [[nodiscard]] std::vector<Delivery> apply(const std::vector<Order>& orders);
  [[nodiscard]] bool contains(BackendId backend) const;  // in any table

  struct Level {
    RetryPolicy tries = RetryPolicy::none;
    double level = 0;
  };
  struct Table {
    std::map<BackendId, double> weights;
    std::map<OperationId, Level> levels;
  };
  [[nodiscard]] const std::map<TableId, Table>& all() const { return tables_; }
  struct Binding {
    TableId table;
    std::vector<OperationId> operations;  // that use the table; empty: all
  };
  [[nodiscard]] const std::map<ProxyId, std::vector<Binding>>& bindings() const { return bindings_; }

 private:
  // What one message tells of one table of a proxy.
  struct TableUpdate {
    TableId table;
    bool full = false;  // the whole table, not only its changes
    std::vector<OperationId> operations;
    auto operator<=>(const TableUpdate&) const = default;
  };

  using Removals = std::map<ProxyId, std::vector<BackendId>>;
  void bind(const BindProxy& order);
  void add_removals(const Removals& removals, std::vector<Delivery>& deliveries) const;
  [[nodiscard]] std::shared_ptr<const EncodedMessage> encode(const std::vector<TableUpdate>& updates,
                                                             const std::map<TableId, Table>& changed) const;
  [[nodiscard]] Update to_update(const TableUpdate& table_update, const Table& contents) const;

  std::vector<std::string> operations_;
  BackendName backend_name_;
  std::map<TableId, Table> tables_;
  std::map<ProxyId, std::vector<Binding>> bindings_;
};

}  // namespace gorsemount::streams
