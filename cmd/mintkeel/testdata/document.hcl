log {
}
