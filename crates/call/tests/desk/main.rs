//! Requests played through the desk without a network.

mod chaos;
mod cold;
mod failures;
mod overload;
mod scene;
mod sending;
