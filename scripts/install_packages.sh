#!/bin/sh
# Installs the packages that the build and the tests require on Debian 12. Must be run as root.
set -eu
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq g++ cmake ninja-build ccache clang-format clang-tidy python3 python3-matplotlib \
    libboost-dev libboost-system-dev libzmq3-dev cppzmq-dev libprotobuf-dev libspdlog-dev libcli11-dev \
    libcppunit-dev nlohmann-json3-dev libxxhash-dev librapidcheck-dev libcsv-dev libssl-dev
