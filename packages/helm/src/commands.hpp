#pragma once
// The commands, one a function; each gives its exit code. The table of them is in helm.cpp.
#include <string>
#include <vector>

namespace helm {

using Arguments = std::vector<std::string>;  // without the command's own name and flags

int run_keygen(const Arguments& arguments);
int run_secret(const Arguments& arguments);
int run_key(const Arguments& arguments);
int run_import(const Arguments& arguments);
int run_check(const Arguments& arguments);
int run_sign(const Arguments& arguments);
int run_push(const Arguments& arguments);
int run_status(const Arguments& arguments);
int run_watch(const Arguments& arguments);
int run_show(const Arguments& arguments);
int run_diff(const Arguments& arguments);
int run_history(const Arguments& arguments);
int run_allowance(const Arguments& arguments);
int run_servers(const Arguments& arguments);
int run_drain(const Arguments& arguments);
int run_undrain(const Arguments& arguments);
int run_explain(const Arguments& arguments);
int run_log_level(const Arguments& arguments);

}  // namespace helm
