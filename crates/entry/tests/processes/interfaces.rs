//! What callers and operators meet at the ports: both HTTP versions, limits, and the command
//! line against a running instance.

use {
    crate::common::config,
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Method, Request, StatusCode, header::HeaderValue},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    marigoldbend::http::client::JsonClient,
    serde_json::json,
    stand_ins::{cluster::Cluster, workers::expected_body},
    std::time::Duration,
};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn http2_in_the_clear_is_served_like_http1() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let client: Client<HttpConnector, Full<Bytes>> = Client::builder(TokioExecutor::new())
        .http2_only(true)
        .build_http();
    let uri = format!(
        "http://{}/services/inspection/check?size=9",
        cluster.entries[0].callers
    );
    let request = Request::builder().uri(uri).header("x-request-id", "h2");
    let request = request.body(Full::default()).expect("a valid request");
    let response = client.request(request).await.expect("it is answered");
    assert_eq!(response.status(), StatusCode::OK);
    let body = response.into_body().collect().await.expect("it is whole");
    assert_eq!(body.to_bytes(), expected_body("h2", 9, b""));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn wrong_requests_are_answered_and_named() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let base = format!("http://{}", cluster.entries[0].callers);
    let client = JsonClient::new(Duration::from_secs(5), None);
    let send = async |method: Method, path: &str, headers: HeaderMap, body: Vec<u8>| {
        let url = format!("{base}{path}");
        let reply = client.send(method, &url, headers, body.into()).await;
        let reply = reply.expect("it is answered");
        (
            reply.status.as_u16(),
            String::from_utf8_lossy(&reply.body).into_owned(),
        )
    };
    let none = HeaderMap::new;
    let (status, body) = send(Method::GET, "/services/nowhere/x", none(), Vec::new()).await;
    assert_eq!(status, 404, "{body}");
    assert!(body.contains("nowhere"), "{body}");
    let long = vec![b'x'; (1 << 20) + 1];
    let (status, body) = send(Method::POST, "/services/inspection/x", none(), long).await;
    assert_eq!(status, 413, "{body}");
    let mut headers = HeaderMap::new();
    let value = "y".repeat(100 << 10);
    headers.insert(
        "x-long",
        HeaderValue::from_str(&value).expect("a valid value"),
    );
    let (status, _) = send(Method::GET, "/services/inspection/x", headers, Vec::new()).await;
    assert_eq!(status, 431);
    let (status, body) = send(Method::POST, "/jobs", none(), b"{\"team\"".to_vec()).await;
    assert_eq!(status, 400, "{body}");
    let wrong = json!({ "team": "reviews", "class": "none", "run_ms": 5 });
    let (status, body) = send(Method::POST, "/jobs", none(), wrong.to_string().into()).await;
    assert_eq!(status, 422, "{body}");
    assert!(body.contains("class"), "{body}");
    let (status, _) = send(Method::GET, "/jobs/1-none", none(), Vec::new()).await;
    assert_eq!(status, 404);
    assert_eq!(cluster.workers.record.requests(), 0, "something was run");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn operators_are_told_what_is_missing_or_wrong() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let url = format!("http://{}/config", cluster.entries[0].operators);
    let client = JsonClient::new(Duration::from_secs(5), None);
    let current = client.get(&url).await.expect("it is answered");
    let tag = current.headers["etag"].clone();
    let put = async |tag: Option<HeaderValue>, body: Bytes| {
        let mut headers = HeaderMap::new();
        if let Some(tag) = tag {
            headers.insert("if-match", tag);
        }
        let reply = client.send(Method::PUT, &url, headers, body).await;
        let reply = reply.expect("it is answered");
        (
            reply.status.as_u16(),
            String::from_utf8_lossy(&reply.body).into_owned(),
        )
    };
    assert_eq!(put(None, current.body.clone()).await.0, 428);
    let old = HeaderValue::from_static("\"0\"");
    assert_eq!(put(Some(old), current.body.clone()).await.0, 412);
    let mut config: serde_json::Value = current.json().expect("it is JSON");
    config["worker"]["slots"] = json!(0);
    let (status, body) = put(Some(tag.clone()), config.to_string().into()).await;
    assert_eq!(status, 422, "{body}");
    assert!(body.contains("worker.slots"), "{body}");
    assert_eq!(put(Some(tag), "{".into()).await.0, 400);
}
